/** A bench: prints its figures and gives the exit code. */
export interface Bench {
  readonly run: (args: readonly string[]) => Promise<number>;
}

/** Benches by the name given on the command line. */
const BENCHES: Readonly<Record<string, () => Promise<Bench>>> = {
  path: async () => {
    const {PathBench} = await import('./path/path_bench.js');
    return new PathBench();
  },
  decisions: async () => {
    const {DecisionsBench} = await import('./decisions/decisions_bench.js');
    return new DecisionsBench();
  },
  faults: () => import('./faults/run_faults.js'),
  configuration: () => import('../operators/run_configuration.js'),
  members: () => import('./members/run_members.js'),
  outage: () => import('./faults/run_outage.js'),
  retries: () => import('./retries/run_retries.js'),
  surge: () => import('./surge/run_surge.js'),
};

const [name = '', ...args] = process.argv.slice(2);
const load = BENCHES[name];
if (load === undefined) {
  const names = Object.keys(BENCHES).join(', ');
  process.stderr.write(`usage: npm run bench -- NAME; names: ${names}\n`);
  process.exit(2);
}
const bench = await load();
process.exit(await bench.run(args));
