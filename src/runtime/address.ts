/**
 * Addresses of listeners.
 *
 * @module
 */

const addressPattern = /^[a-z0-9._-]+:\d{1,5}$/i;

/** Whether `text` is an IPv4 address or host name and a port, which is 0 for any free one. It can stand in a URL and in a header. */
export function isAddress(text: string): boolean {
    return addressPattern.test(text) && URL.canParse(`http://${text}`);
}
