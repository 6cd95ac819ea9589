/**
 * Parsing of a published text at a bounded cost: neither deep nesting nor a mistake that is repeated a million times may keep a daemon busy
 * for seconds, in which it would lose its lease, or make an answer or a line of the log of megabytes.
 *
 * @module
 */

import { z } from "zod";
import type { SiteFinding } from "./check.js";

/** Deeper nesting is refused. Known fields take seven levels; unknown fields may nest further. */
const maxDepth = 10_000;
/** The number of findings that are reported at most, and of items in one list after which its other items are not looked at. */
const maxFindings = 50;
const maxFindingChars = 300;

/** Thrown for a text that is nested too deeply. */
export class NestingError extends Error {
    override name = "NestingError";
}

const quote = 0x22;
const backslash = 0x5c;
const openBracket = 0x5b;
const closeBracket = 0x5d;
const openBrace = 0x7b;
const closeBrace = 0x7d;

function checkNesting(text: string) {
    let depth = 0;
    let isInString = false;
    for (let index = 0; index < text.length && depth <= maxDepth; index++) {
        const code = text.charCodeAt(index);
        if (code === quote) {
            isInString = !isInString;
        }
        else if (isInString) {
            index += code === backslash ? 1 : 0;
        }
        else if (code === openBracket || code === openBrace) {
            depth++;
        }
        else if (code === closeBracket || code === closeBrace) {
            depth--;
        }
    }
    if (depth > maxDepth) {
        throw new NestingError(`it is nested more than ${maxDepth} levels deep`);
    }
}

/** Parses JSON. Throws a `SyntaxError` or a `NestingError`. */
export function parseBoundedJson(text: string): unknown {
    checkNesting(text);
    return JSON.parse(text);
}

/** Returns the schema of a list that reports only the findings of the first invalid items. */
export function listOf<Item extends z.ZodType>(item: Item) {
    return z.array(z.unknown()).transform((values, context): z.output<Item>[] => {
        const items: z.output<Item>[] = [];
        let invalidItems = 0;
        for (let index = 0; index < values.length && invalidItems < maxFindings; index++) {
            const parsed = item.safeParse(values[index]);
            if (parsed.success) {
                items.push(parsed.data);
                continue;
            }
            invalidItems++;
            parsed.error.issues.forEach(({ path, message }) => context.addIssue({ code: "custom", path: [index, ...path], message }));
        }
        return items;
    });
}

function shorten(text: string): string {
    return text.length <= maxFindingChars ? text : `${text.slice(0, maxFindingChars)}…`;
}

/** Returns the first findings, each cut to a bounded length, and how many more there are. */
export function boundedFindings(findings: readonly SiteFinding[]): SiteFinding[] {
    const shown = findings.slice(0, maxFindings).map(({ place, problem }) => ({ place: shorten(place), problem: shorten(problem) }));
    const left = findings.length - shown.length;
    return left === 0 ? shown : [...shown, { place: "the text", problem: `has at least ${left} more findings` }];
}
