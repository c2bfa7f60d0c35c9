"""What is played on the model or the emulator, how results are kept, compared and drawn."""
