/** The highest status of HTTP (RFC 9110, 15). The HTTP client rejects answers below the lowest one itself, and lets higher ones through. */
export const maxStatus = 599;

/** The number of informational answers (1xx) before the final one. An upstream that sends more of them sends no answer. */
export const maxInformationalAnswers = 16;
