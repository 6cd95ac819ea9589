export { answerTokens, expectedAnswer, promptOf } from "./answer.js";
