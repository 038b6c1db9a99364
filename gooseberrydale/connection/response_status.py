"""Which numbers are statuses of responses (RFC 9110, section 15)."""

FIRST_STATUS, LAST_STATUS = 100, 599


def is_status(number: int) -> bool:
    """Whether a number is a status; a response with another one is no answer."""
    return FIRST_STATUS <= number <= LAST_STATUS
