"""Schedule the jobs of a deployment and order their runs."""
