/**
 * Hosts the two membership reducers of this VM, one for its role as a member and one as a leader VM, and performs their effects: exchanges
 * leases between members, sends orders to the engine and ends streams.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import {
    initialLeaderState,
    initialMemberState,
    type LeaderEffect,
    leaderReducer,
    mayAdmit,
    mayServe,
    type MemberEffect,
    memberReducer,
    memberReport,
    findStragglers,
} from "../membership/index.js";
import type { MemberLeaseAsk, MemberLeaseGrant, PeerCertificates, VmOrder } from "../rpc/index.js";
import { type Clock, createHost } from "../runtime/index.js";
import type { Engine, EngineState } from "./engine.js";
import { createLeaseGranter, createLeaseRequester } from "./leaseStreams.js";

export interface MembershipOptions {
    readonly vmId: string;
    readonly bootId: string;
    readonly clock: Clock;
    readonly engine: () => Engine;
    /** The number of attempts running on this VM. */
    readonly running: () => number;
    /** Ends the running attempts of an epoch with a typed failure. */
    readonly stopStreams: (epoch: number, reason: string) => void;
    readonly reportNow: () => void;
    readonly count: (metric: string) => void;
    readonly onChange: (what: string, details: Record<string, unknown>) => void;
    readonly certificates?: () => PeerCertificates | undefined;
}

export interface VmMembership {
    order(order: VmOrder): void;
    engineObserved(state: EngineState | undefined): void;
    /** Whether this VM is the leader VM of the replica of that epoch. */
    isLeader(epoch: number): boolean;
    /** Whether this VM leads the replica of that epoch, every member lease is live, and the replica is not draining. */
    mayAdmit(epoch: number): boolean;
    /** Whether this VM leads the replica of that epoch and every member lease is live. Ends the streams of a replica that lost a lease. */
    mayServe(epoch: number): boolean;
    report(): ReturnType<typeof memberReport> & { readonly replicaReady: boolean; readonly stragglerVmIds: string[] };
    serveLeases(asks: AsyncIterable<MemberLeaseAsk>): AsyncIterable<MemberLeaseGrant>;
    /** Starts a planned stop and resolves once this VM belongs to no replica. */
    leave(): Promise<void>;
    stop(): void;
}

/** Creates the membership of a sidecar that has just started. */
export function createMembership(options: MembershipOptions): VmMembership {
    const { vmId, clock } = options;
    const memberNowMs = () => performance.now();
    let memberTimer: NodeJS.Timeout | undefined;
    let leaderTimer: NodeJS.Timeout | undefined;
    let resolveLeave: (() => void) | undefined;

    const leaseRequester = createLeaseRequester(
        () => clock.nowMs(),
        grant => leader.dispatch({ kind: "grant", grant, nowMs: clock.nowMs() }),
        options.certificates,
    );
    const leaseGranter = createLeaseGranter(ask => member.dispatch({ kind: "ask", ask, nowMs: memberNowMs() }));
    const member = createHost(memberReducer, initialMemberState(vmId, memberNowMs()), performMember);
    const leader = createHost(leaderReducer, initialLeaderState(vmId, options.bootId), performLeader);

    function tick() {
        leader.dispatch({ kind: "tick", running: options.running(), nowMs: clock.nowMs() });
    }

    async function orderEngine(effect: Extract<MemberEffect, { kind: "order-engine" }>) {
        const engine = options.engine();
        const bootId = engine.state?.bootId ?? "";
        const { epoch, model, mayLoad, membership } = effect;
        const isLoad = model !== undefined && mayLoad && !(engine.state?.models.includes(model) ?? false);
        const accepted = await engine.order({
            epoch,
            kind: isLoad ? "load-model" : "form",
            ...(model === undefined ? {} : { model }),
            ...(membership === undefined ? {} : { replicaId: membership.replicaId, members: membership.members.map(item => item.vmId) }),
        });
        member.dispatch({ kind: "engine-answer", epoch, bootId, accepted, nowMs: memberNowMs() });
    }

    function performMember(effect: MemberEffect) {
        switch (effect.kind) {
            case "arm-timer":
                clearTimeout(memberTimer);
                memberTimer = setTimeout(
                    () => member.dispatch({ kind: "timer", nowMs: memberNowMs() }),
                    Math.max(0, Math.ceil(effect.atMs - memberNowMs())),
                );
                return;
            case "count":
                return options.count(effect.metric);
            case "log-change":
                return options.onChange(effect.what, { epoch: effect.epoch, detail: effect.detail });
            case "order-refused":
                return options.onChange("order-refused", { epoch: effect.epoch, reason: effect.reason });
            case "send-grant":
                return effect.toVmId === vmId
                    ? leader.dispatch({ kind: "grant", grant: effect.grant, nowMs: clock.nowMs() })
                    : leaseGranter.send(effect.toVmId, effect.grant);
            case "order-engine":
                return void orderEngine(effect);
            case "lead":
                return leader.dispatch({ kind: "lead", membership: effect.membership, nowMs: clock.nowMs() });
            case "drain":
                return leader.dispatch({ kind: "drain", epoch: effect.epoch, nowMs: clock.nowMs() });
            case "unlead":
                return leader.dispatch({ kind: "unlead", epoch: effect.epoch, nowMs: clock.nowMs() });
            case "report":
                return options.reportNow();
            case "stopped":
                return resolveLeave?.();
        }
    }

    function performLeader(effect: LeaderEffect) {
        switch (effect.kind) {
            case "arm-timer":
                clearTimeout(leaderTimer);
                leaderTimer = setTimeout(tick, Math.max(0, Math.ceil(effect.atMs - clock.nowMs())));
                return;
            case "count":
                return options.count(effect.metric);
            case "log-change":
                return options.onChange(effect.what, { epoch: effect.epoch, detail: effect.detail });
            case "send-ask":
                return effect.toVmId === vmId
                    ? member.dispatch({ kind: "ask", ask: effect.ask, nowMs: memberNowMs() })
                    : leaseRequester.send(effect.toVmId, effect.address, effect.ask);
            case "stop-streams":
                return options.stopStreams(effect.epoch, effect.reason);
            case "report":
                return options.reportNow();
        }
    }

    function isLeader(epoch: number): boolean {
        return leader.state.membership?.epoch === epoch;
    }

    return {
        order(order) {
            const epoch = Number(order.epoch);
            const { replicaId, leaderVmId, mayLoad, drain } = order;
            const model = order.model === "" ? undefined : order.model;
            const members = order.members.map(item => ({ vmId: item.vmId, address: item.address }));
            const membership = epoch === 0 ? undefined : { replicaId, epoch, members, leaderVmId, model };
            const fence = Number(order.fence);
            member.dispatch({ kind: "order", order: { epoch, fence, membership, model, mayLoad, drain }, nowMs: memberNowMs() });
        },
        engineObserved(state) {
            const { bootId = "", models = [], stepLatencyMs = 0 } = state ?? {};
            const engine = { bootId, models, stepLatencyMs, up: state !== undefined };
            member.dispatch({ kind: "engine", engine, nowMs: memberNowMs() });
        },
        isLeader,
        mayAdmit: epoch => isLeader(epoch) && mayAdmit(leader.state, clock.nowMs()),
        mayServe(epoch) {
            if (isLeader(epoch) && !mayServe(leader.state, clock.nowMs())) {
                tick();
            }
            return isLeader(epoch) && mayServe(leader.state, clock.nowMs());
        },
        report: () => ({
            ...memberReport(member.state),
            replicaReady: mayAdmit(leader.state, clock.nowMs()),
            stragglerVmIds: findStragglers(leader.state),
        }),
        serveLeases: asks => leaseGranter.serve(asks),
        leave() {
            return new Promise(resolve => {
                resolveLeave = resolve;
                member.dispatch({ kind: "stop", nowMs: memberNowMs() });
                tick();
            });
        },
        stop() {
            clearTimeout(memberTimer);
            clearTimeout(leaderTimer);
            leaseRequester.stop();
        },
    };
}
