/**
 * Renders the settings template of the deploy file as the users' platform does: values, JSON values and sections.
 *
 * @module
 */

import { readFileSync } from "node:fs";

const tagPattern = /\{\{([#^/]?)([^}]+)\}\}/g;

function* tagsFrom(text, offset) {
    for (const match of text.slice(offset).matchAll(tagPattern)) {
        const [tag, kind, name] = match;
        yield { kind, name, start: offset + match.index, end: offset + match.index + tag.length };
    }
}

function lookUp(path, scopes) {
    if (path === ".") {
        return scopes[0];
    }
    for (const scope of scopes) {
        const value = path.split(".").reduce((parent, key) => parent?.[key], scope);
        if (value !== undefined) {
            return value;
        }
    }
    return undefined;
}

function format(value) {
    if (value === undefined) {
        return "";
    }
    return Array.isArray(value) ? value.join(",") : typeof value === "object" ? JSON.stringify(value) : String(value);
}

function isPresent(value) {
    return value !== undefined && value !== false;
}

function sectionScopes(value, scopes) {
    const items = Array.isArray(value) ? value : [value === true ? scopes[0] : value];
    return items.map(item => [item, ...scopes]);
}

/** Returns the tag that closes the section `name`, which begins at `offset`. */
function endOfSection(text, name, offset) {
    let depth = 1;
    for (const tag of tagsFrom(text, offset)) {
        depth += tag.name !== name ? 0 : tag.kind === "/" ? -1 : 1;
        if (depth === 0) {
            return tag;
        }
    }
    throw new Error(`the section ${name} has no end`);
}

function renderText(text, scopes) {
    const [tag] = tagsFrom(text, 0);
    if (tag === undefined) {
        return text;
    }
    const before = text.slice(0, tag.start);
    if (tag.kind === "") {
        const [path, form] = tag.name.split("|");
        const value = lookUp(path, scopes);
        return before + (form === "json" ? JSON.stringify(value) : format(value)) + renderText(text.slice(tag.end), scopes);
    }
    const closing = endOfSection(text, tag.name, tag.end);
    const inner = text.slice(tag.end, closing.start);
    const value = lookUp(tag.name, scopes);
    const renderings = tag.kind === "#"
        ? isPresent(value) ? sectionScopes(value, scopes).map(inside => renderText(inner, inside)) : []
        : isPresent(value) ? [] : [renderText(inner, scopes)];
    return before + renderings.join("") + renderText(text.slice(closing.end), scopes);
}

/** Renders the template in `file` with the fields of the pages. */
export function renderSettings(file, fields) {
    return renderText(readFileSync(file, "utf8"), [fields]);
}
