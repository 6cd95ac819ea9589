export { type Admission, type AdmissionRefusal, createEntryAdmission, type EntryAdmission, type AdmissionTicket } from "./admission.js";
export { createEntryHttp, type EntryHttp, type EntryHttpOptions } from "./http.js";
export { createRunner, type Runner, type RunnerOptions } from "./runner.js";
export type { Propose } from "./claims.js";
