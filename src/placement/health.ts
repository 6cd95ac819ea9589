/**
 * The planner's per-VM state between steps: the VM's condition and its recent failures.
 *
 * @module
 */

import { type PlacementView, startWindowMs, type VmCondition, vmSilenceTimeoutMs, type VmView } from "./view.js";

/** Failures further apart than this are considered unrelated. */
export const flapWindowMs = 600_000;
/** The quarantine after a second failure within `flapWindowMs`. It doubles with each further failure. */
export const initialQuarantineMs = 15_000;
export const maxQuarantineMs = 600_000;

export interface VmHealth {
    readonly view: VmView;
    readonly condition: VmCondition;
    readonly domainKey: string;
    /** When the engine, or the whole VM, was first seen to be down; Infinity while it is up. */
    readonly engineDownAtMs: number;
    readonly failures: number;
    readonly failedAtMs: number;
    readonly quarantinedUntilMs: number;
}

/** Returns the key of the domain that a VM belongs to. */
export function domainKeyOf(vm: VmView): string {
    return `${vm.service}\n${vm.dataCentre}\n${vm.fabricDomain}`;
}

/** Returns whether the control leader started so recently that some VMs may not have reported to it yet. */
export function isInStartWindow(view: PlacementView): boolean {
    return view.nowMs - view.leadingSinceMs < startWindowMs;
}

function determineCondition(view: PlacementView, vm: VmView, quarantinedUntilMs: number): VmCondition {
    if (view.nowMs - vm.heardAtMs > vmSilenceTimeoutMs) {
        return "missing";
    }
    if (vm.leaving) {
        return "leaving";
    }
    if (!vm.engineUp) {
        return "engine-down";
    }
    return view.nowMs < quarantinedUntilMs ? "quarantined" : "usable";
}

/** Returns whether two reports differ in a field that the planner acts on. */
function hasRelevantChange(a: VmView, b: VmView): boolean {
    return a !== b && (
        a.epoch !== b.epoch || a.joined !== b.joined || a.releasedEpoch !== b.releasedEpoch || a.replicaReady !== b.replicaReady ||
        a.engineBootId !== b.engineBootId || a.sidecarBootId !== b.sidecarBootId || a.models !== b.models ||
        a.loadingModel !== b.loadingModel || a.stragglerVmIds !== b.stragglerVmIds || a.address !== b.address
    );
}

/**
 * Records a failure. A flapping VM would take its replica down each time, so from the second failure within the window on it is kept out
 * of new replicas, for twice as long after each failure, up to `maxQuarantineMs`. It stays a member of its current replica.
 */
function recordFailure(health: VmHealth, nowMs: number): Pick<VmHealth, "failures" | "failedAtMs" | "quarantinedUntilMs"> {
    const failures = nowMs - health.failedAtMs < flapWindowMs ? health.failures + 1 : 1;
    const quarantineMs = failures < 2 ? 0 : Math.min(maxQuarantineMs, initialQuarantineMs * 2 ** (failures - 2));
    return { failures, failedAtMs: nowMs, quarantinedUntilMs: Math.max(health.quarantinedUntilMs, nowMs + quarantineMs) };
}

/** Returns the VM's health after its latest report: the same object if nothing relevant has changed. */
export function updateVmHealth(view: PlacementView, vm: VmView, previous: VmHealth | undefined): VmHealth {
    if (previous === undefined) {
        return {
            view: vm,
            condition: determineCondition(view, vm, 0),
            domainKey: domainKeyOf(vm),
            engineDownAtMs: vm.engineUp ? Infinity : view.nowMs,
            failures: 0,
            failedAtMs: -Infinity,
            quarantinedUntilMs: 0,
        };
    }
    const condition = determineCondition(view, vm, previous.quarantinedUntilMs);
    if (condition === previous.condition && !hasRelevantChange(vm, previous.view)) {
        return previous;
    }
    const hasFailed = (condition === "missing" && previous.condition !== "missing") || vm.sidecarBootId !== previous.view.sidecarBootId ||
        (previous.view.engineBootId !== "" && vm.engineBootId !== "" && vm.engineBootId !== previous.view.engineBootId);
    const isNewFailure = hasFailed && previous.condition !== "missing" && !vm.leaving && !previous.view.leaving;
    const failureRecord = isNewFailure ? recordFailure(previous, view.nowMs) : previous;
    const isDown = condition === "engine-down" || condition === "missing";
    const engineDownAtMs = isDown ? Math.min(previous.engineDownAtMs, view.nowMs) : Infinity;
    return {
        ...previous,
        ...pickFailureFields(failureRecord),
        view: vm,
        engineDownAtMs,
        condition: determineCondition(view, vm, failureRecord.quarantinedUntilMs),
        domainKey: domainKeyOf(vm),
    };
}

function pickFailureFields({ failures, failedAtMs, quarantinedUntilMs }: Pick<VmHealth, "failures" | "failedAtMs" | "quarantinedUntilMs">) {
    return { failures, failedAtMs, quarantinedUntilMs };
}

/** Returns the VM's health after it was found to slow down its replica: the VM is quarantined. */
export function quarantineStraggler(health: VmHealth, nowMs: number): VmHealth {
    const quarantinedUntilMs = Math.max(health.quarantinedUntilMs, nowMs + 4 * initialQuarantineMs);
    return { ...health, quarantinedUntilMs, condition: health.condition === "usable" ? "quarantined" : health.condition };
}
