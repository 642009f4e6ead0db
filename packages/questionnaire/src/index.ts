/**
 * Questionnaire for operators: questions, answers and the configuration that is
 * generated from the answers.
 */
export * from './answers.js';
export * from './answer_change.js';
export * from './answer_entries.js';
export * from './answer_subjects.js';
export * from './check_answers.js';
export * from './generate_configuration.js';
export * from './merge_answers.js';
export * from './question.js';
export * from './questions.js';
export * from './parse_answer.js';
export * from './prompter.js';
export * from './interview.js';
export * from './answer_text.js';
export * from './describe_effects.js';
export * from './update_answers.js';
export * from './answer_parts.js';
export * from './find_origin.js';
