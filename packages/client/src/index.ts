/** Parts of the operators' client that tests of other packages use. */
export * from './exit_code.js';
export * from './client_settings.js';
export * from './accept/accept_report.js';
export * from './accept/acceptor.js';
export * from './accept/answer_archive.js';
export * from './accept/change_merger.js';
export * from './fleet/daemon_report.js';
export * from './fleet/fleet_reader.js';
export * from './status/promise_state.js';
export * from './status/fleet_view.js';
export * from './status/check_promises.js';
export * from './status/format_status.js';
export * from './accept/ask_conflicts.js';
export * from './is_coloured.js';
export * from './progress_line.js';
export * from './terminal_prompter.js';
