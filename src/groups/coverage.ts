/**
 * Summarizes how well each model is covered by groups, so that operators can tell a shortage of groups from other bottlenecks.
 *
 * @module
 */

import { countAssignedVms, coverage, demandOf, freeByDomain, type PlanningStep } from "./planningStep.js";
import type { GroupPhase } from "./types.js";

export interface ModelCoverage {
    readonly model: string;
    readonly groups: Readonly<Record<GroupPhase, number>>;
    /** VMs in groups that are open or forming. */
    readonly vms: number;
    /** VMs that callers' requests keep busy, rounded to a tenth. */
    readonly demandVms: number;
    /** `vms` divided by `demandVms`, rounded to a tenth. Below 1, callers wait longer and longer. */
    readonly coverage: number;
}

export interface Coverage {
    readonly models: readonly ModelCoverage[];
    /** Usable VMs that are in no group, including spares. */
    readonly freeVms: number;
}

function roundToTenth(value: number): number {
    return Math.round(value * 10) / 10;
}

/** Summarizes the coverage at the end of a planning step. */
export function summarizeCoverage(step: PlanningStep): Coverage {
    const groups = [...step.groupTable.groups.values()];
    const countOf = (model: string, phase: GroupPhase) => groups.filter(group => group.model === model && group.phase === phase).length;
    return {
        models: step.view.engine.models.map(model => ({
            model: model.name,
            groups: { forming: countOf(model.name, "forming"), open: countOf(model.name, "open"), ending: countOf(model.name, "ending") },
            vms: countAssignedVms(model, step),
            demandVms: roundToTenth(demandOf(model, step)),
            coverage: roundToTenth(coverage(model, step)),
        })),
        freeVms: [...freeByDomain(step).values()].reduce((sum, free) => sum + free.length, 0),
    };
}
