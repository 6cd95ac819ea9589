export { type Control, type ControlOptions, createControl, forwardCommand } from "./control.js";
export { createOperatorsServer, type OperatorsServer } from "./operators.js";
