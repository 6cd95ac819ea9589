/**
 * The versioned configuration that operators edit: service classes with their targets, services, organisations and data centres. A change
 * is a compare-and-set on the version and has a change id, so a resend gets the original result, and of two concurrent changes the one
 * that is rejected learns which change was accepted.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { z } from "zod";
import { emptyMap, mapDelete, mapGet, mapSet, type PersistentMap } from "../runtime/index.js";

/** A service class and its targets. Operators set these, and never VMs or weights. */
export const serviceClassSchema = z.strictObject({
    name: z.string().min(1),
    service: z.string().min(1),
    /** The target latency of the first token, or of the whole response for a plain service. */
    latenessMs: z.number().int().positive(),
    /** The target latency between tokens; unset for plain services. */
    betweenTokensMs: z.number().int().positive().optional(),
    /** The time after which a response is useless to the caller. */
    deadlineMs: z.number().int().positive(),
    /** The target share of accepted requests that are delivered in time, above 0 and at most 1. */
    deliveryShare: z.number().gt(0).max(1),
    /** Whether requests of this class may be retried. If unset, the HTTP method decides. */
    idempotent: z.boolean().optional(),
});

/** A pool of equivalent upstreams. */
export const serviceSchema = z.strictObject({
    name: z.string().min(1),
    kind: z.enum(["model", "plain"]),
    /** The model and version that the engines load; unset for plain services. */
    model: z.string().optional(),
    /** The number of VMs in a replica; 1 for a plain service. */
    replicaVms: z.number().int().min(1).max(64).default(1),
    /** The target number of replicas. If unset, as many are formed as the VMs without the spares allow. */
    replicas: z.number().int().min(0).optional(),
    /** The number of VMs in each fabric domain that are kept as spares for repair, with the weights loaded. */
    sparesPerDomain: z.number().int().min(0).default(0),
    /** The maximum number of concurrent requests of a warm upstream. */
    capacity: z.number().int().min(1),
    /** The maximum number of concurrent requests of an upstream during its cold start. */
    coldCapacity: z.number().int().min(1),
});

/** A customer organisation. Its API keys are stored as SHA-256 hashes only. */
export const organisationSchema = z.strictObject({
    name: z.string().min(1),
    keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)),
    homeRegion: z.string().min(1),
});

/** A data centre. `drained` is set while operators have taken it out of service. */
export const dataCentreSchema = z.strictObject({
    name: z.string().min(1),
    region: z.string().min(1),
    drained: z.boolean().default(false),
});

export const configurationSchema = z.strictObject({
    classes: z.array(serviceClassSchema),
    services: z.array(serviceSchema),
    organisations: z.array(organisationSchema),
    dataCentres: z.array(dataCentreSchema),
});

export type ServiceClass = z.infer<typeof serviceClassSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Organisation = z.infer<typeof organisationSchema>;
export type DataCentre = z.infer<typeof dataCentreSchema>;
export type Configuration = z.infer<typeof configurationSchema>;

/** One edit of the configuration. A change contains one or more edits and is applied atomically. */
export const editSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("replace"), configuration: configurationSchema }),
    z.strictObject({ kind: z.literal("set-class"), class: serviceClassSchema }),
    z.strictObject({ kind: z.literal("remove-class"), name: z.string() }),
    z.strictObject({ kind: z.literal("set-organisation"), organisation: organisationSchema }),
    z.strictObject({ kind: z.literal("remove-organisation"), name: z.string() }),
    z.strictObject({ kind: z.literal("set-drained"), dataCentre: z.string(), drained: z.boolean() }),
]);
export type Edit = z.infer<typeof editSchema>;

export const changeConfigurationSchema = z.strictObject({
    kind: z.literal("change-configuration"),
    changeId: z.string().min(1),
    /** The version the change is based on. If unset, the change applies to the current version. */
    expectedVersion: z.number().int().min(0).optional(),
    /** The version as of which its operator was known to wait for it. A later change of the same items supersedes this one. */
    basedOnVersion: z.number().int().min(0).optional(),
    author: z.string(),
    atMs: z.number(),
    edits: z.array(editSchema).min(1),
});
export type ChangeConfiguration = z.infer<typeof changeConfigurationSchema>;

/** An accepted change, kept in the history and to answer resends. */
export interface AcceptedChange {
    readonly changeId: string;
    readonly version: number;
    readonly author: string;
    readonly atMs: number;
    /** The SHA-256 digest of the edits, which tells a resend from a different change with the same id. */
    readonly digest: string;
    /** One short description per edit. */
    readonly summary: readonly string[];
    /** The edits, kept for the newest `maxChangesWithEdits` changes and empty for older ones. */
    readonly edits: readonly Edit[];
}

export interface ConfigurationState {
    readonly version: number;
    readonly value: Configuration;
    /** The newest changes, oldest first, at most `maxHistoryLength`. */
    readonly history: readonly AcceptedChange[];
    /** The version of each change in the history, by change id. */
    readonly versions: PersistentMap<number>;
}

export type ChangeResult =
    | { readonly outcome: "accepted"; readonly version: number; readonly repeated: boolean }
    | { readonly outcome: "conflict"; readonly version: number; readonly winner: AcceptedChange | undefined }
    /** Another change of the same items was accepted after the version on which this one is based, and nothing has changed. */
    | { readonly outcome: "superseded"; readonly version: number }
    | { readonly outcome: "invalid"; readonly version: number; readonly findings: readonly string[] };

/** The number of changes kept to answer resends: more than two days at 5,700 changes a day. */
export const maxHistoryLength = 12_000;

/** Further findings of an invalid change are left out. */
const maxFindings = 50;

/** The number of changes whose edits are kept. Keeping all edits of a history of full configurations made a snapshot of 119 MB. */
export const maxChangesWithEdits = 100;

export const emptyConfiguration: ConfigurationState = {
    version: 0,
    value: { classes: [], services: [], organisations: [], dataCentres: [] },
    history: [],
    versions: emptyMap(),
};

function upsertByName<Item extends { name: string }>(items: readonly Item[], item: Item): Item[] {
    const others = items.filter(existing => existing.name !== item.name);
    return [...others, item].sort((a, b) => a.name < b.name ? -1 : 1);
}

function applyEdit(value: Configuration, edit: Edit): Configuration {
    switch (edit.kind) {
        case "replace":
            return edit.configuration;
        case "set-class":
            return { ...value, classes: upsertByName(value.classes, edit.class) };
        case "remove-class":
            return { ...value, classes: value.classes.filter(item => item.name !== edit.name) };
        case "set-organisation":
            return { ...value, organisations: upsertByName(value.organisations, edit.organisation) };
        case "remove-organisation":
            return { ...value, organisations: value.organisations.filter(item => item.name !== edit.name) };
        case "set-drained":
            return {
                ...value,
                dataCentres: value.dataCentres.map(item =>
                    item.name === edit.dataCentre ? { ...item, drained: edit.drained } : item),
            };
    }
}

/** Checks references and unique names across the whole configuration. Returns one finding, with its path, per problem. */
export function validateConfiguration(value: Configuration): string[] {
    const services = new Set(value.services.map(service => service.name));
    const unknownServices = value.classes
        .filter(item => !services.has(item.service))
        .map(item => `classes.${item.name}.service: "${item.service}" names no service`);
    return [
        ...findDuplicateNames("classes", value.classes),
        ...findDuplicateNames("services", value.services),
        ...findDuplicateNames("organisations", value.organisations),
        ...findDuplicateNames("dataCentres", value.dataCentres),
        ...unknownServices,
    ];
}

/** Reports duplicate names: an edit by name would change one of the items and leave the other in force. */
function findDuplicateNames(list: string, items: readonly { name: string }[]): string[] {
    const firstIndexes = new Map<string, number>();
    return items.flatMap(({ name }, index) => {
        const firstIndex = firstIndexes.get(name);
        firstIndexes.set(name, firstIndex ?? index);
        return firstIndex === undefined ? [] : [`${list}[${index}].name: "${name}" stands at ${list}[${firstIndex}] already`];
    });
}

function validateEdits(value: Configuration, edits: readonly Edit[]): string[] {
    const names = new Set(value.dataCentres.map(item => item.name));
    return edits
        .flatMap((edit, index) => edit.kind === "set-drained" && !names.has(edit.dataCentre)
            ? [`edits[${index}].dataCentre: "${edit.dataCentre}" is unknown; known: ${[...names].join(", ")}`]
            : []);
}

/** What an edit changes, for a comparison with other edits; undefined: everything. */
function itemOf(edit: Edit): string | undefined {
    switch (edit.kind) {
        case "replace":
            return undefined;
        case "set-class":
            return `class ${edit.class.name}`;
        case "remove-class":
            return `class ${edit.name}`;
        case "set-organisation":
            return `organisation ${edit.organisation.name}`;
        case "remove-organisation":
            return `organisation ${edit.name}`;
        case "set-drained":
            return `data centre ${edit.dataCentre}`;
    }
}

/** Whether a change after `basedOnVersion` may have changed an item that `edits` change. The edits of old changes are no longer known. */
function isSuperseded({ history, version }: ConfigurationState, basedOnVersion: number, edits: readonly Edit[]): boolean {
    const later = history.filter(change => change.version > basedOnVersion);
    const isForgotten = later.length < version - basedOnVersion || later.some(change => change.edits.length === 0);
    const items = edits.map(itemOf);
    const laterItems = later.flatMap(change => change.edits.map(itemOf));
    return version > basedOnVersion &&
        (isForgotten || items.includes(undefined) || laterItems.some(item => item === undefined || items.includes(item)));
}

/** Applies one change. A resend gets its original result, a stale version a conflict, and an invalid configuration the findings. */
export function applyConfigurationChange(
    state: ConfigurationState,
    change: ChangeConfiguration,
): { state: ConfigurationState; result: ChangeResult } {
    const digest = digestEdits(change.edits);
    const previous = findChange(state, mapGet(state.versions, change.changeId));
    if (previous !== undefined) {
        return previous.digest === digest
            ? { state, result: { outcome: "accepted", version: previous.version, repeated: true } }
            : { state, result: { outcome: "conflict", version: state.version, winner: previous } };
    }
    if (change.expectedVersion !== undefined && change.expectedVersion !== state.version) {
        const winner = findChange(state, change.expectedVersion + 1);
        return { state, result: { outcome: "conflict", version: state.version, winner } };
    }
    if (change.basedOnVersion !== undefined && isSuperseded(state, change.basedOnVersion, change.edits)) {
        return { state, result: { outcome: "superseded", version: state.version } };
    }
    const value = change.edits.reduce(applyEdit, state.value);
    const findings = [...validateEdits(state.value, change.edits), ...validateConfiguration(value)];
    if (findings.length > 0) {
        return { state, result: { outcome: "invalid", version: state.version, findings: findings.slice(0, maxFindings) } };
    }
    const version = state.version + 1;
    const { changeId, author, atMs, edits } = change;
    const accepted: AcceptedChange = { changeId, version, author, atMs, digest, summary: edits.map(summarizeEdit), edits };
    return { state: appendToHistory({ ...state, version, value }, accepted), result: { outcome: "accepted", version, repeated: false } };
}

/** Appends a change to the history and truncates it: older changes first lose their edits and are then removed. */
function appendToHistory(state: ConfigurationState, accepted: AcceptedChange): ConfigurationState {
    const history = [...state.history, accepted];
    let versions = mapSet(state.versions, accepted.changeId, accepted.version);
    const expiredIndex = history.length - 1 - maxChangesWithEdits;
    if (expiredIndex >= 0) {
        history[expiredIndex] = { ...history[expiredIndex]!, edits: [] };
    }
    if (history.length > maxHistoryLength) {
        versions = mapDelete(versions, history.shift()!.changeId);
    }
    return { ...state, history, versions };
}

/** Returns the change that created `version`. Versions in the history are consecutive. */
function findChange({ history }: ConfigurationState, version: number | undefined): AcceptedChange | undefined {
    const firstVersion = history[0]?.version;
    return version === undefined || firstVersion === undefined ? undefined : history[version - firstVersion];
}

function digestEdits(edits: readonly Edit[]): string {
    return createHash("sha256").update(JSON.stringify(edits)).digest("hex");
}

function summarizeEdit(edit: Edit): string {
    switch (edit.kind) {
        case "replace":
            return "replace";
        case "set-class":
            return `set-class ${edit.class.name}`;
        case "set-organisation":
            return `set-organisation ${edit.organisation.name}`;
        case "set-drained":
            return `${edit.drained ? "drain" : "restore"} ${edit.dataCentre}`;
        default:
            return `${edit.kind} ${edit.name}`;
    }
}
