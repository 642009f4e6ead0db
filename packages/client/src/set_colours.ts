/** Turns colours off for output that is no terminal, or with NO_COLOR. */
const isOff = (process.env['NO_COLOR'] ?? '') !== '' || !process.stdout.isTTY;
// The command line library reads only this exact value.
if (isOff) process.env['NO_COLOR'] = '1';

export {};
