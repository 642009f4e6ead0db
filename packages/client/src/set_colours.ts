import {isColoured} from './is_coloured.js';

// Disables colours if the output is not a terminal or NO_COLOR is set.
const isOff = !isColoured(process.env, process.stdout);
// The command line library, citty, honours NO_COLOR only with the value 1.
if (isOff) process.env['NO_COLOR'] = '1';
