export { diskOperations, type FileOperations, replaceFile } from "./files.js";
export { CorruptionError } from "./segment.js";
export { ForeignFolderError } from "./folder.js";
export { type ConsensusNode, createReplicatedLog, type ReplicatedLogOptions, type VoterChange } from "./node.js";
export { type VoterView } from "./view.js";
export { type ConsensusLimits, type ConsensusTimings, type SettingsPeer } from "./state.js";
