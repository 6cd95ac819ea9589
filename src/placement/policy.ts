/**
 * The repair policies for broken replicas: the one used in production and two simple baselines for benchmarks.
 *
 * @module
 */

import type { AssessedVm, DomainView, ReplicaHealth } from "./view.js";

/** A replica to end, and the reason that is logged. */
export interface ReplicaEnding {
    readonly health: ReplicaHealth;
    readonly reason: string;
    /** Whether to finish the running requests first, which is possible when every member is present. */
    readonly drain: boolean;
}

/** Decides which replicas of a domain to end and how to form new ones. */
export interface RepairPolicy {
    readonly name: string;
    /** Returns the replicas of the domain to end now. */
    selectEndings(domain: DomainView): ReplicaEnding[];
    /** Returns the number of replicas that the domain should have. */
    targetReplicas(domain: DomainView): number;
    /** Returns the free VMs in the order in which new replicas take them. */
    rankFreeVms(domain: DomainView): readonly AssessedVm[];
}

function countUsableVms(domain: DomainView): number {
    return domain.free.length + domain.releasing.length + domain.replicas.reduce((sum, { survivors }) => sum + survivors.length, 0);
}

/** Returns the target number of replicas: growth leaves the spares unused, but replicas that existed before may be rebuilt from them. */
function targetKeepingSpares(domain: DomainView): number {
    const grown = Math.floor((domain.knownVms - domain.spares) / domain.replicaVms);
    return Math.min(Math.max(grown, domain.peakReplicas), Math.floor(countUsableVms(domain) / domain.replicaVms));
}

function compareVmIds(a: AssessedVm, b: AssessedVm): number {
    return a.vm.vmId < b.vm.vmId ? -1 : 1;
}

/**
 * The production policy. A broken replica is ended only if a working one can be formed from it, with the domain's spares or the survivors
 * of other broken replicas. Otherwise it waits for its lost member, which costs nothing, because its survivors couldn't serve in another
 * replica. VMs that have the weights are used first.
 */
export class SpareFirst implements RepairPolicy {
    readonly name = "spare-first";

    selectEndings(domain: DomainView): ReplicaEnding[] {
        const dissolvable = domain.replicas.filter(health => health.dissolveReason !== undefined);
        const rest = domain.replicas.filter(health => health.dissolveReason === undefined);
        const stopping = rest.filter(health => health.leaving.length > 0 && health.lost.length === 0);
        const broken = rest.filter(health => health.lost.length > 0);
        return [
            ...dissolvable.map((health): ReplicaEnding => ({ health, reason: health.dissolveReason!, drain: false })),
            ...stopping.map((health): ReplicaEnding => ({ health, reason: `leaving: ${health.leaving.join(", ")}`, drain: true })),
            ...this.endBroken(domain, broken),
            ...this.replaceStraggler(domain, rest, broken),
        ];
    }

    /** Ends as many broken replicas as can be turned into complete ones, those with the most survivors first. */
    private endBroken(domain: DomainView, broken: readonly ReplicaHealth[]): ReplicaEnding[] {
        const ranked = [...broken].sort((a, b) => b.survivors.length - a.survivors.length || (a.replica.epoch - b.replica.epoch));
        let available = domain.free.length + domain.releasing.length;
        const intactReplicas = domain.replicas.length - broken.length;
        const newReplicas = Math.max(0, targetKeepingSpares(domain) - domain.replicas.length);
        available -= Math.min(newReplicas, Math.floor(available / domain.replicaVms)) * domain.replicaVms;
        const ended: ReplicaEnding[] = [];
        let batch: ReplicaEnding[] = [];
        for (const health of ranked) {
            const hasRoom = intactReplicas + ended.length < targetKeepingSpares(domain);
            if (!hasRoom || health.survivors.length === 0) {
                break;
            }
            batch.push({ health, reason: `lost: ${health.lost.join(", ")}`, drain: false });
            available += health.survivors.length;
            if (available >= domain.replicaVms) {
                available -= domain.replicaVms;
                ended.push(...batch);
                batch = [];
            }
        }
        return ended;
    }

    /** Drains at most one replica with stragglers at a time, and only if enough free VMs with the weights can replace them. */
    private replaceStraggler(domain: DomainView, rest: readonly ReplicaHealth[], broken: readonly ReplicaHealth[]): ReplicaEnding[] {
        const straggling = rest.find(health => health.stragglers.length > 0 && health.lost.length === 0);
        const warm = domain.free.filter(assessed => assessed.warm).length;
        if (straggling === undefined || broken.length > 0 || warm < straggling.stragglers.length) {
            return [];
        }
        return [{ health: straggling, reason: `straggler: ${straggling.stragglers.join(", ")}`, drain: true }];
    }

    targetReplicas(domain: DomainView): number {
        return targetKeepingSpares(domain);
    }

    rankFreeVms(domain: DomainView): readonly AssessedVm[] {
        return [...domain.free].sort((a, b) => Number(b.warm) - Number(a.warm) || compareVmIds(a, b));
    }
}

/** Baseline: a broken replica waits until its lost VM returns. */
export class WaitForReturn implements RepairPolicy {
    readonly name = "wait-for-return";

    selectEndings(domain: DomainView): ReplicaEnding[] {
        return domain.replicas
            .filter(health => health.dissolveReason !== undefined || health.leaving.length > 0)
            .map(health => ({ health, reason: health.dissolveReason ?? "leaving", drain: health.dissolveReason === undefined }));
    }

    targetReplicas(domain: DomainView): number {
        return Math.floor((domain.knownVms - domain.spares) / domain.replicaVms);
    }

    rankFreeVms(domain: DomainView): readonly AssessedVm[] {
        return [...domain.free].sort(compareVmIds);
    }
}

/** Baseline: ends a broken replica immediately and forms new ones from free VMs picked at random. */
export class RebuildAtRandom implements RepairPolicy {
    readonly name = "rebuild-at-random";

    constructor(private readonly seed: number) {}

    selectEndings(domain: DomainView): ReplicaEnding[] {
        return domain.replicas
            .filter(health => health.dissolveReason !== undefined || health.lost.length > 0 || health.leaving.length > 0)
            .map(health => ({ health, reason: health.dissolveReason ?? "broken", drain: health.dissolveReason === undefined && health.lost.length === 0 }));
    }

    targetReplicas(domain: DomainView): number {
        return Math.floor(countUsableVms(domain) / domain.replicaVms);
    }

    rankFreeVms(domain: DomainView): readonly AssessedVm[] {
        const randomRanks = new Map(domain.free.map(assessed => [assessed, this.randomRank(`${assessed.vm.vmId}/${assessed.vm.heardAtMs}`)]));
        return [...domain.free].sort((a, b) => randomRanks.get(a)! - randomRanks.get(b)!);
    }

    private randomRank(text: string): number {
        let hash = this.seed | 0;
        for (let index = 0; index < text.length; index++) {
            hash = Math.imul(hash ^ text.charCodeAt(index), 16_777_619);
        }
        return hash >>> 0;
    }
}
