/**
 * Addresses of upstreams: a host and a port that a connection can be opened to, whoever has stated them.
 *
 * @module
 */

import { isIPv4 } from "node:net";
import { z } from "zod";

/** The longest host name in the DNS, and the longest part of one between dots. */
const [maxHostChars, maxLabelChars] = [253, 63];
const maxPort = 65_535;
const maxAddressChars = maxHostChars + 1 + String(maxPort).length;

const labelPattern = /^[a-z0-9](?:[a-z0-9-]*[a-z0-9])?$/i;

/** Whether a text is a host name that URLs accept: they take a last label that looks like a number for a part of an IP address. */
function isHostName(text: string): boolean {
    const isInBounds = text.length <= maxHostChars && text.split(".").every(label => label.length <= maxLabelChars && labelPattern.test(label));
    return isInBounds && URL.canParse(`http://${text}`) && !isIPv4(new URL(`http://${text}`).hostname);
}

/** Whether a text is a port in the only way to write it. */
function isPort(text: string): boolean {
    const port = Number(text);
    return Number.isInteger(port) && port >= 1 && port <= maxPort && String(port) === text;
}

/** Whether a text is an IPv4 address or a DNS host name, with a port from 1 to 65535. */
export function isAddress(text: string): boolean {
    const separator = text.lastIndexOf(":");
    if (separator < 0 || text.length > maxAddressChars || !isPort(text.slice(separator + 1))) {
        return false;
    }
    const host = text.slice(0, separator);
    return isIPv4(host) || isHostName(host);
}

/** The address of an upstream, `HOST:PORT`. */
export const addressSchema = z.string().refine(isAddress, "is not a host and a port");
