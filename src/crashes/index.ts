export { type CrashCause, findCrashCauses, hasCrashCause } from "./causes.js";
export {
    clearPartsSchema, type CrashEvidenceCommand, type CrashEvidenceResult, type CrashEvidenceState, emptyCrashEvidence,
    type EngineCrash, maxPartsPerCrash, reportPartsSchema, suspectedParts,
} from "./evidence.js";
export { applyCrashEvidence } from "./reducer.js";
