/** Parts of the operators' client that tests drive directly. */
export * from './exit_code.js';
export * from './client_settings.js';
