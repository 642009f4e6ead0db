import {isColoured} from './is_coloured.js';

/** Turns colours off for output that is no terminal, or with NO_COLOR. */
const isOff = !isColoured(process.env, process.stdout);
// The command line library reads only this exact value.
if (isOff) process.env['NO_COLOR'] = '1';
