/** The questionnaire's answers and the configuration generated from them. */
export * from './answers.js';
export * from './generate.js';
