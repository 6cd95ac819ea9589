/**
 * The revisions of engines: the number of orders that a process has accepted since its start. An order to join a group names the revision
 * at which the engine is as the plan saw it, and the engine refuses it at any other. So a join that is carried out late can't take an
 * engine out of a group that it has joined meanwhile by another late order, be it of an earlier leader.
 *
 * @module
 */

import type { GroupMembership, Upstream } from "../fleet/index.js";
import type { EngineOrder, GroupsState } from "./types.js";

/** More than the engines of a site. Those of engines that have ended are dropped with all others. */
const maxAccounts = 20_000;

/** What an engine states about itself at one moment. */
export interface EngineState {
    /** When this incarnation started, Unix time in ms. */
    readonly bornMs: number;
    readonly group: Pick<GroupMembership, "name" | "epoch"> | undefined;
    /** Number of orders that this incarnation has accepted; undefined if it doesn't state that. */
    readonly revision?: number | undefined;
}

/** Whether an engine still is the process, and in the group, for which an order was planned. */
export function isAsPlanned({ bornMs, group }: Upstream, state: EngineState): boolean {
    return state.bornMs === bornMs && state.group?.name === group?.name && state.group?.epoch === group?.epoch;
}

export interface Revisions {
    /** Records what an engine states. The statement may be outdated when it arrives. */
    recordState(upstreamId: string, state: EngineState): void;
    /** Call when an order is sent. Returns the function to call once the engine has accepted it, which raises its revision by one. */
    recordSent(upstreamId: string, order: EngineOrder): () => void;
    /** Forgets an engine whose revision was not the one that an order named. */
    forget(upstreamId: string): void;
    /** Returns the revision at which an upstream is as planned; undefined if that is not known. */
    revisionOf(planned: Upstream): number | undefined;
}

interface Account {
    /** What the engine has stated. */
    readonly stated: EngineState;
    /** The state after the orders that were sent since and accepted. */
    readonly state: EngineState;
}

/** Returns the state of an engine after an order that it has accepted. Answers may overtake each other. */
function stateAfter(order: EngineOrder, { bornMs, group, revision = 0 }: EngineState): EngineState {
    const next = { bornMs, group, revision: revision + 1 };
    if (order.kind === "join") {
        return { ...next, group: group === undefined || group.epoch < order.epoch ? { name: order.group, epoch: order.epoch } : group };
    }
    const isLeft = order.kind === "leave" && group?.name === order.group && group.epoch === order.epoch;
    return isLeft ? { ...next, group: undefined } : next;
}

/**
 * Creates an account of the revisions of engines. A revision here is never higher than the engine's own: if the engine has accepted an
 * order that the account doesn't count, it refuses joins until its state is recorded anew.
 */
export function createRevisions(): Revisions {
    const accounts = new Map<string, Account>();

    return {
        recordState(upstreamId, state) {
            if (accounts.size >= maxAccounts) {
                accounts.clear();
            }
            accounts.set(upstreamId, { stated: state, state });
        },
        recordSent(upstreamId, order) {
            const stated = accounts.get(upstreamId)?.stated;
            return () => {
                const account = accounts.get(upstreamId);
                // A state that was read since may include the order.
                if (account !== undefined && account.stated === stated && stated.revision !== undefined) {
                    accounts.set(upstreamId, { stated, state: stateAfter(order, account.state) });
                }
            };
        },
        forget: upstreamId => void accounts.delete(upstreamId),
        revisionOf(planned) {
            const state = accounts.get(planned.id)?.state;
            return state !== undefined && isAsPlanned(planned, state) ? state.revision : undefined;
        },
    };
}

/** Returns the state of a leader without the last order to an upstream, which was not carried out, so that the next step plans it anew. */
export function withoutLastOrder(state: GroupsState, upstreamId: string): GroupsState {
    const [lastOrders, standbyJoins] = [new Map(state.lastOrders), new Map(state.standbyJoins)];
    lastOrders.delete(upstreamId);
    standbyJoins.delete(upstreamId);
    return { ...state, lastOrders, standbyJoins };
}
