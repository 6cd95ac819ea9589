/**
 * All decision logic is written as reducers, which are pure functions of a state and an event. Time, random values and ids are passed
 * in events, so that property tests and history checks can run the same code as production.
 *
 * @module
 */

/** The result of a reducer: the next state, and the effects to perform, described as data. */
export interface Step<State, Effect> {
    readonly state: State;
    readonly effects: readonly Effect[];
}

/** A pure function that computes a step. It never mutates `state` and throws only on programming errors. */
export type Reducer<State, Event, Effect> = (state: State, event: Event) => Step<State, Effect>;

/** Returns a step without a state change or effects. */
export function unchanged<State>(state: State): Step<State, never> {
    return { state, effects: [] };
}

/** Creates a step from a state and any number of effects. */
export function step<State, Effect>(state: State, ...effects: Effect[]): Step<State, Effect> {
    return { state, effects };
}
