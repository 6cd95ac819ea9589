/**
 * The settings of a daemon that serves a published site: its roles, its addresses and the limits that the site guarantees. They are
 * written in INI like the other settings; the name of every duration ends in its unit.
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
        /** The folder for durable state; a control daemon without one never votes and redirects its clients to the voters. */
        dataFolder: z.string().optional(),
        logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
        /** How long a graceful stop may take before the daemon is killed. */
        stopS: z.number().positive().max(86_400).default(8),
    }),
    /** Addresses of this daemon's listeners; which are required depends on the roles. */
    listen: z.strictObject({
        callers: addressSchema.optional(),
        ready: addressSchema.optional(),
        /** The listener for upstreams and operators. */
        control: addressSchema.optional(),
        /** The listener for metrics in text format; if unset, none are served. */
        metrics: addressSchema.optional(),
        /** The listener for other daemons. */
        rpc: addressSchema.optional(),
    }),
    control: z.strictObject({
        /** Control daemons to contact first; only the host of each address is used. */
        seeds: z.array(addressSchema).min(1),
        /** The port on which control daemons listen for other daemons; it is the same on every VM. */
        rpcPort: z.number().int().positive().max(65_535),
        /** True only when the whole site is started for the first time. */
        firstStart: z.boolean(),
        /** The number of disks that the site may lose at once without losing what was acknowledged; unset if it isn't known. */
        toleratedDiskLosses: z.number().int().min(0).max(50).optional(),
        /** The interval at which upstreams announce themselves. */
        heartbeatMs: z.number().positive().max(3_600_000).default(1_200),
    }),
    /** The limit on repeated sends to a service, over all entries and in any window. */
    repeats: z.strictObject({
        ratio: z.number().min(0).max(1),
        /** The number of repeated sends that a window may have in addition to the ratio. */
        slack: z.number().min(0),
    }),
    overload: z.strictObject({
        /** Whether overload control acts: always, never, or for the services for which the published site calls for it. */
        mode: z.enum(["auto", "on", "off"]).default("auto"),
    }).prefault({}),
    memory: z.strictObject({
        /** The memory that this process may use. If set, the bytes held for callers and upstreams are bounded. */
        limitMb: z.number().positive(),
    }).optional(),
});

export type SiteSettings = z.infer<typeof siteSettingsSchema>;
type SectionName = keyof SiteSettings;

function roleRequiresListener(role: string, key: keyof SiteSettings["listen"]): Rule<SectionName> {
    return raw => {
        const roles = raw.daemon?.roles;
        const isMissing = Array.isArray(roles) && roles.includes(role) && raw.listen?.[key] === undefined;
        return isMissing ? [{ section: "listen", key, expected: `an address for the role ${role}`, found: "nothing" }] : [];
    };
}

const rules: readonly Rule<SectionName>[] = [roleRequiresListener("entry", "callers"), roleRequiresListener("entry", "ready"), roleRequiresListener("control", "control"), roleRequiresListener("control", "rpc")];

/** Checks the text of a settings file; `file` is the file name in the findings. */
export function checkSiteSettings(file: string, text: string): CheckedText<SiteSettings> {
    return checkText(file, text, siteSettingsSchema, rules);
}

/** Reads and checks a settings file; never throws because of its content. */
export function loadSiteSettings(file: string): CheckedText<SiteSettings> {
    const text = readText(file);
    return text.value === undefined ? { findings: text.findings ?? [] } : checkSiteSettings(file, text.value);
}
