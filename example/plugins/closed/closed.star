def admit(call):
    return {"after_ms": 60 * 1000}
