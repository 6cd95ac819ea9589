/**
 * Keeps secrets and callers' texts out of logs and traces. Fields are judged by name, and texts by the shapes that keys and
 * tokens have: a header that is logged whole, or an error message that quotes one, would otherwise carry an organisation's key
 * into files that more people read than may use it.
 *
 * @module
 */

const secretNames = /^(?:proxy-?)?authorization$|^(?:set-?)?cookies?$|password|secret|token$|^tokens$|(?:^|[a-z-_])api-?_?key$|^key$|keyhash/i;
/** Callers' own texts; spans and lines name a request by its id. */
const contentNames = /^(?:body|prompt|messages|content|text)$/i;
const secretTexts = /\bBearer\s+[^\s"',;]+|\bz[kt]_[A-Za-z0-9_-]{8,}|-----BEGIN [A-Z ]*PRIVATE KEY-----[\s\S]*?(?:-----END [A-Z ]*PRIVATE KEY-----|$)/gi;

const redacted = "[redacted]";
/** Deeper values are cut: a log line is no place for them, and a cycle would never end. */
const maxDepth = 6;

/** `text` without bearer tokens, keys that `zinnia` made, and private keys. */
export function redactText(text: string): string {
    return text.replace(secretTexts, redacted);
}

/** A copy of `value` without secrets and callers' texts. */
export function redact(value: unknown, depth = 0): unknown {
    if (typeof value === "string") {
        return redactText(value);
    }
    if (typeof value !== "object" || !value) {
        return value;
    }
    if (depth === maxDepth) {
        return "[cut]";
    }
    if (value instanceof Error) {
        return redactText(value.stack ?? value.message);
    }
    if (Array.isArray(value)) {
        return value.map(item => redact(item, depth + 1));
    }
    return Object.fromEntries(Object.entries(value).map(([name, item]) =>
        [name, secretNames.test(name) || contentNames.test(name) ? redacted : redact(item, depth + 1)]));
}
