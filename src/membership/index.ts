export * from "./leader.js";
export { memberReducer } from "./member.js";
export {
    type EngineStatus, initialMemberState, type MemberEffect, type MemberEvent, type MemberOrder, memberReport, type MemberState,
} from "./memberState.js";
export * from "./types.js";
