/**
 * Addresses of listeners.
 *
 * @module
 */

const addressPattern = /^[^\s:/?#@]+:\d{1,5}$/;

/** Whether `text` is an IPv4 address or host name and a port, so that a connection to it can be constructed. */
export function isAddress(text: string): boolean {
    return addressPattern.test(text) && URL.canParse(`http://${text}`);
}
