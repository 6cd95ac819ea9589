/**
 * Reads one INI section against the zod schema of its object: snake_case keys become the schema's camelCase fields, strings are
 * converted to the numbers, booleans and lists of the schema, and zod issues become findings with the line of the key.
 *
 * @module
 */

import { z } from "zod";
import type { Finding } from "./findings.js";
import type { IniSection } from "./iniFile.js";

/** A section's values converted to the types of its schema, before validation, and the findings about its keys. */
export interface RawSection {
    readonly raw: Record<string, unknown>;
    readonly findings: readonly Finding[];
}

type Shape = Readonly<Record<string, z.core.$ZodType>>;

/** Converts a camelCase field name to its snake_case INI key. */
export function toIniKey(field: string): string {
    return field.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}

/** Returns the schema inside optional, default and prefault wrappers. */
export function unwrapSchema(schema: z.core.$ZodType): z.core.$ZodType {
    if (schema instanceof z.ZodOptional || schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault) {
        return unwrapSchema(schema.unwrap());
    }
    return schema;
}

/** Whether a section with this schema may be omitted. */
export function isOptional(schema: z.core.$ZodType): boolean {
    return schema instanceof z.ZodOptional || schema instanceof z.ZodPrefault;
}

function parsePeer(text: string): unknown {
    const separatorIndex = text.indexOf("@");
    return separatorIndex < 0 ? { id: text, address: "" } : { id: text.slice(0, separatorIndex), address: text.slice(separatorIndex + 1) };
}

/** Converts a string to the type of `schema`; leaves a string that doesn't fit unchanged, for zod to report. */
function parseValue(schema: z.core.$ZodType, text: string): unknown {
    const inner = unwrapSchema(schema);
    if (inner instanceof z.ZodNumber) {
        return text.trim() === "" || Number.isNaN(Number(text)) ? text : Number(text);
    }
    if (inner instanceof z.ZodBoolean) {
        return text === "true" ? true : text === "false" ? false : text;
    }
    if (inner instanceof z.ZodObject) {
        return parsePeer(text);
    }
    if (inner instanceof z.ZodArray) {
        const items = text.split(",").map(item => item.trim()).filter(item => item !== "");
        return items.map(item => parseValue(inner.element, item));
    }
    return text;
}

/** Converts the entries of `section` to an object for `shape`; reports keys that the shape doesn't have. */
export function readSection(file: string, section: IniSection, shape: Shape): RawSection {
    const fieldByKey = new Map(Object.keys(shape).map(field => [toIniKey(field), field]));
    const raw: Record<string, unknown> = {};
    const findings: Finding[] = [];
    for (const entry of section.entries.values()) {
        const field = fieldByKey.get(entry.key);
        if (field === undefined) {
            const expected = `one of ${[...fieldByKey.keys()].join(", ")}`;
            findings.push({ file, line: entry.line, section: section.name, key: entry.key, expected, found: "an unknown key" });
            continue;
        }
        raw[field] = parseValue(shape[field]!, entry.value);
    }
    return { raw, findings };
}

/** Describes what a zod issue expected, in the terms of a settings file. */
function describeExpected(issue: z.core.$ZodIssue): string {
    switch (issue.code) {
        case "invalid_type":
            return issue.expected === "int" ? "a whole number" : issue.expected === "array" ? "a list" : `a ${issue.expected}`;
        case "invalid_value":
            return `one of ${issue.values.join(", ")}`;
        case "too_small":
            return issue.origin === "string" || issue.origin === "array"
                ? "a value"
                : `a number ${issue.inclusive ? "of at least" : "above"} ${issue.minimum}`;
        case "too_big":
            return `a number of at most ${issue.maximum}`;
        case "invalid_format":
            return issue.message.startsWith("expected ") ? issue.message.slice("expected ".length) : `a text matching ${issue.pattern}`;
        default:
            return issue.message;
    }
}

/** Converts a zod issue about a section's object to a finding with its location; the path of the issue starts with the field. */
export function issueFinding(file: string, name: string, section: IniSection | undefined, issue: z.core.$ZodIssue): Finding {
    const [field, ...subPath] = issue.path;
    const key = field === undefined ? undefined : toIniKey(String(field));
    const entry = key === undefined ? undefined : section?.entries.get(key);
    const location = { file, line: entry?.line ?? section?.line ?? 1, section: name, key };
    if (entry === undefined) {
        return { ...location, expected: describeExpected(issue), found: "nothing" };
    }
    if (key?.endsWith("_hashes")) {
        // An operator may paste a token instead of its hash; the token must not appear in logged findings.
        return { ...location, expected: describeExpected(issue), found: "another value (not shown)" };
    }
    const item = typeof subPath[0] === "number" ? entry.value.split(",")[subPath[0]]?.trim() : undefined;
    const expected = subPath.length > 1 ? `id@host:port (${describeExpected(issue)})` : describeExpected(issue);
    return { ...location, expected, found: JSON.stringify(item ?? entry.value) };
}
