import {FleetCourse} from './fleet_course.js';
import {runMemberCase} from './member_case.js';
import {CASES, type CaseName} from './member_cases.js';
import {computeFleetFigures} from './measure_fleet.js';
import {NeighbourWay} from './member_process.js';

const SEED = 3;
const CASE_SIZES = [5, 12];
const COURSE_SIZES = [5, 20, 60, 120];
const SETTLE_MS = 30_000;
const MEASURE_MS = 10_000;

/** Sizes at which each way is run over real sockets. */
const SOCKET_SIZES: Readonly<Record<NeighbourWay, readonly number[]>> = {
  [NeighbourWay.DOUBLE_MESH]: [5, 10],
  [NeighbourWay.MESH]: [5, 20],
  [NeighbourWay.RINGS]: [5, 20, 60, 120],
};

/** Prints the figures of the membership between daemons, a line each. */
export async function run(args: readonly string[]): Promise<number> {
  process.env['DEBUG'] = 'none';
  const course = args.indexOf('--course');
  if (course >= 0) {
    const size = Number(args[course + 1]);
    await printCourses(size > 0 ? [size] : COURSE_SIZES);
    return 0;
  }
  if (!args.includes('--sockets')) {
    for (const size of CASE_SIZES) await printCases(size);
  }
  if (args.includes('--cases')) return 0;
  for (const way of Object.values(NeighbourWay)) {
    for (const size of SOCKET_SIZES[way]) await printFleet(way, size);
  }
  return 0;
}

async function printCases(size: number): Promise<void> {
  for (const name of Object.keys(CASES) as CaseName[]) {
    const figures = await runMemberCase(name, size, SEED);
    const way = NeighbourWay.RINGS;
    print(`${name}:until_gone`, way, size, figures.goneMs, 'ms');
    print(`${name}:until_whole`, way, size, figures.wholeMs, 'ms');
    const {falseSuspicions} = figures;
    print(`${name}:false_suspicions`, way, size, falseSuspicions, 'count');
  }
}

async function printCourses(sizes: readonly number[]): Promise<void> {
  for (const size of sizes) {
    const course = new FleetCourse(size, SEED, ({measure, value, unit}) =>
      print(measure, NeighbourWay.RINGS, size, value, unit),
    );
    await course.run();
  }
}

async function printFleet(way: NeighbourWay, size: number): Promise<void> {
  const figures = await computeFleetFigures(way, size, SETTLE_MS, MEASURE_MS);
  print('control_bytes', way, size, figures.bytesPerSecond, 'bytes/s/daemon');
  print('processor', way, size, figures.cpuShare, 'cores/daemon');
  print('fewest_live', way, size, figures.fewestLive, 'daemons');
  print('load_age', way, size, figures.loadAgeMs, 'ms');
}

function print(
  measure: string,
  way: string,
  size: number,
  value: number,
  unit: string,
): void {
  const rounded = Number(value.toFixed(4));
  const line = {measure, way, size, value: rounded, unit, seed: SEED};
  process.stdout.write(`${JSON.stringify(line)}\n`);
}
