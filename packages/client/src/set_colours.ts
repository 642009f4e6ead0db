import {isColoured} from './is_coloured.js';

// Disables colours if the output is not a terminal or NO_COLOR is set.
const isOff = !isColoured(process.env, process.stdout);
// The command line library, citty, ignores any other value.
if (isOff) process.env['NO_COLOR'] = '1';
