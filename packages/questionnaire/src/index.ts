/** The questionnaire's answers and the configuration generated from them. */
export * from './answers.js';
export * from './answer_change.js';
export * from './answer_entries.js';
export * from './check_answers.js';
export * from './generate.js';
export * from './merge_answers.js';
