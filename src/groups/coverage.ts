/**
 * How well each model is covered, for operators: whether requests are short of groups, or of something else.
 *
 * @module
 */

import { coverage, demandOf, type Draft, freeByDomain, vmsOf } from "./draft.js";
import type { GroupPhase } from "./types.js";

export interface ModelCoverage {
    readonly model: string;
    readonly groups: Readonly<Record<GroupPhase, number>>;
    /** VMs in groups that serve or form. */
    readonly vms: number;
    /** VMs that the work of callers keeps busy, to a tenth. */
    readonly demandVms: number;
    /** The first for each of the second: below 1, callers wait longer and longer. */
    readonly coverage: number;
}

export interface Coverage {
    readonly models: readonly ModelCoverage[];
    /** VMs that may be used and are in no group, spares among them. */
    readonly freeVms: number;
}

function toTenth(value: number): number {
    return Math.round(value * 10) / 10;
}

/** Sums a step up. */
export function coverageOf(draft: Draft): Coverage {
    const groups = [...draft.groupTable.groups.values()];
    const countOf = (model: string, phase: GroupPhase) => groups.filter(group => group.model === model && group.phase === phase).length;
    return {
        models: draft.view.engine.models.map(model => ({
            model: model.name,
            groups: { forming: countOf(model.name, "forming"), open: countOf(model.name, "open"), ending: countOf(model.name, "ending") },
            vms: vmsOf(model, draft),
            demandVms: toTenth(demandOf(model, draft)),
            coverage: toTenth(coverage(model, draft)),
        })),
        freeVms: [...freeByDomain(draft).values()].reduce((sum, free) => sum + free.length, 0),
    };
}
