/** The highest status of HTTP (RFC 9110, 15). The HTTP client rejects answers below the lowest one itself, and lets higher ones through. */
export const maxStatus = 599;
