// Starts the bundle that lies beside this file from compiled code.
//
// Compiling and running the bundle's modules anew takes twice as long as all
// of Node's own start, and a daemon that was killed pays for it each time.
// With WRITE_CODE_CACHE=1 the compiled code of the run is kept on its exit.
const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const {Module, createRequire} = require('node:module');
const {join} = require('node:path');
const {Script} = require('node:vm');

const bundle = join(__dirname, 'greengagecross.cjs');
const cache = join(__dirname, 'greengagecross.cache');
const isWriting = process.env.WRITE_CODE_CACHE === '1';

// Code that another version of Node compiled is refused by V8 and ignored.
const cachedData =
  !isWriting && existsSync(cache) ? readFileSync(cache) : undefined;
const source = Module.wrap(readFileSync(bundle, 'utf8'));
const script = new Script(source, {filename: bundle, cachedData});
if (isWriting) {
  process.on('exit', () => writeFileSync(cache, script.createCachedData()));
}
const run = script.runInThisContext();
run({}, createRequire(bundle), {exports: {}}, bundle, __dirname);
