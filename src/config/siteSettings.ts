/**
 * The settings of a daemon that serves a published site: its roles, addresses and the bounds that the site promises. Written in INI like
 * the other settings; every duration carries its unit.
 *
 * @module
 */

import { z } from "zod";
import { checkText, type CheckedText, type Rule } from "./checkText.js";
import { readText } from "./load.js";
import { addressSchema } from "./settings.js";

export const siteSettingsSchema = z.strictObject({
    daemon: z.strictObject({
        id: z.string().min(1),
        dataCentre: z.string().min(1),
        roles: z.array(z.enum(["entry", "control"])).min(1),
        /** The one folder for durable state; a control daemon without it never votes and refers callers to those that do. */
        dataFolder: z.string().optional(),
        logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
        /** How long a stop may take before the daemon is killed. */
        stopS: z.number().positive().default(8),
    }),
    /** Addresses of this daemon's listeners; each role needs its own. */
    listen: z.strictObject({
        callers: addressSchema.optional(),
        ready: addressSchema.optional(),
        /** Upstreams and operators. */
        control: addressSchema.optional(),
        /** Counters and histograms as text; unset serves none. */
        metrics: addressSchema.optional(),
        /** Other daemons. */
        rpc: addressSchema.optional(),
    }),
    control: z.strictObject({
        /** Control daemons to begin with; of their addresses the host is used. */
        seeds: z.array(addressSchema).min(1),
        /** The port on which control daemons listen for other daemons, the same on every VM. */
        rpcPort: z.number().int().positive(),
        /** True only when the whole site starts for the first time. */
        firstStart: z.boolean(),
    }),
    /** The bound on second sends to a service, over all entries and any window. */
    repeats: z.strictObject({
        ratio: z.number().min(0).max(1),
        /** Sends beyond the ratio that one window may have. */
        slack: z.number().min(0),
    }),
});

export type SiteSettings = z.infer<typeof siteSettingsSchema>;
type SectionName = keyof SiteSettings;

function roleNeeds(role: string, key: keyof SiteSettings["listen"]): Rule<SectionName> {
    return raw => {
        const roles = raw.daemon?.roles;
        const isMissing = Array.isArray(roles) && roles.includes(role) && raw.listen?.[key] === undefined;
        return isMissing ? [{ section: "listen", key, expected: `an address, for the role ${role}`, found: "nothing" }] : [];
    };
}

const rules: readonly Rule<SectionName>[] = [roleNeeds("entry", "callers"), roleNeeds("entry", "ready"), roleNeeds("control", "control"), roleNeeds("control", "rpc")];

/** Checks the text of a settings file; `file` names it in the findings. */
export function checkSiteSettings(file: string, text: string): CheckedText<SiteSettings> {
    return checkText(file, text, siteSettingsSchema, rules);
}

/** Reads and checks a settings file; never throws for what is in it. */
export function loadSiteSettings(file: string): CheckedText<SiteSettings> {
    const text = readText(file);
    return text.value === undefined ? { findings: text.findings ?? [] } : checkSiteSettings(file, text.value);
}
