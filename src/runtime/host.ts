/**
 * Runs a reducer: holds its state, applies events one at a time and performs the resulting effects.
 *
 * @module
 */

import type { Reducer } from "./reducer.js";

/** A running reducer. */
export interface Host<State, Event> {
    /** Applies one event. Events dispatched while effects are being performed are queued and applied afterwards, in order. */
    dispatch(event: Event): void;
    readonly state: State;
}

/** Runs `reducer` from the state `initial`. `perform` executes each effect and may dispatch events, synchronously or later. */
export function createHost<State, Event, Effect>(
    reducer: Reducer<State, Event, Effect>,
    initial: State,
    perform: (effect: Effect, dispatch: (event: Event) => void) => void,
): Host<State, Event> {
    const queue: Event[] = [];
    let state = initial;
    let isDispatching = false;

    function drain() {
        while (queue.length > 0) {
            const result = reducer(state, queue.shift()!);
            state = result.state;
            for (const effect of result.effects) {
                perform(effect, dispatch);
            }
        }
    }

    function dispatch(event: Event) {
        queue.push(event);
        if (isDispatching) {
            return;
        }
        isDispatching = true;
        try {
            drain();
        }
        finally {
            isDispatching = false;
        }
    }

    return {
        dispatch,
        get state() {
            return state;
        },
    };
}
