/** A bench: prints its figures and gives the exit code. */
export interface Bench {
  readonly run: (args: readonly string[]) => Promise<number>;
}

/** Benches by the name given on the command line. */
const BENCHES: Readonly<Record<string, () => Promise<Bench>>> = {
  decisions: async () => {
    const {DecisionsBench} = await import('./decisions/decisions_bench.js');
    return new DecisionsBench();
  },
  configuration: () => import('../operators/run_configuration.js'),
  members: () => import('./members/run_members.js'),
  retries: () => import('./retries/run_retries.js'),
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
