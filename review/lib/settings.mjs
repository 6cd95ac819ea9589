/**
 * Renders a role's settings as the platform does: fills the project's template from the fields that `DEPLOY.md` names.
 *
 * @module
 */

import { readFileSync } from "node:fs";

/** The bounds of the small deployments (`sites/sr-listings.toml`). */
export const bounds = {
    contactMs: 3_000, ackMs: 4_000, catchUpS: 4, drainMs: 2_000, graceS: 8, configApplyMs: 2_000, retryBudgetRatio: 0.2, budgetWindowS: 10,
    budgetSlack: 164, coldOverage: 1.5, coldSlack: 5, evacuateMs: 5_000, recoverS: 12, stallMs: 5_000,
};

/** The interval at which runners send check-ins. */
export const heartbeatMs = 1_200;

function valueOf(fields, path) {
    return path === "." ? fields["."] : path.split(".").reduce((value, key) => value?.[key], fields);
}

function renderValues(text, fields) {
    return text.replace(/\{\{([\w.]+)\}\}/g, (_match, path) => {
        const value = valueOf(fields, path);
        return value === undefined ? "" : Array.isArray(value) ? value.join(",") : String(value);
    });
}

/** Fills the template's sections, which are not nested, and then its values. */
export function renderSettings(template, fields) {
    const withSections = template.replace(/\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_match, path, body) => {
        const value = valueOf(fields, path);
        return value === undefined || value === false ? "" : renderValues(body, { ...fields, ".": value });
    });
    return renderValues(withSections, fields);
}

/** Reads how the deploy file starts a role: its program with arguments and its template. */
export function readDeployment(deployFile) {
    const text = readFileSync(deployFile, "utf8");
    const sections = text.split(/^\[roles\./m).slice(1);
    return Object.fromEntries(sections.map(section => {
        const field = name => new RegExp(`^${name} = "(.*)"$`, "m").exec(section)[1];
        return [section.slice(0, section.indexOf("]")), { command: field("run").split(" "), template: field("template") }];
    }));
}
