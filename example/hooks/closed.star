# Destination 13 has closed for good: tell its clients to come back in a minute.
def admit(flow):
    if flow.destination == 13:
        return 60 * 1000
    return None
