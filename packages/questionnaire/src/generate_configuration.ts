import {
  FencingSupport,
  PlacementPreference,
  ServiceKind,
  type Configuration,
  type Customer,
  type DesiredWeights,
  type PlacementRules,
  type Service,
} from '@greengagecross/common';
import type {
  Answers,
  CustomerAnswers,
  EngineAnswers,
  OtherWork,
  PlainAnswers,
} from './answers.js';

const MS_PER_SECOND = 1000;
const DEFAULT_ENGINES_OUT_OF_WORK = 1;
const DEFAULT_CONCURRENT_LOADS = 2;
// maxLoadMultiple bounds the requests in flight on one engine, as a multiple of
// the mean over all engines of the service.
const REUSE_RULES: PlacementRules = {
  preference: PlacementPreference.REUSE,
  maxLoadMultiple: 1.5,
};
const EVENNESS_RULES: PlacementRules = {
  preference: PlacementPreference.EVENNESS,
  maxLoadMultiple: 1.25,
};

// Configuration of each customer by its answers object. Unchanged answers yield
// the identical object, so that the customer need not be encoded again.
const CUSTOMER_CACHE = new WeakMap<CustomerAnswers, Customer>();

/** Makes a configuration; the same answers always give the same one. */
export function makeConfiguration(answers: Answers): Configuration {
  const services = [
    ...answers.engines.flatMap(makeEngineServices),
    ...answers.plainServices.map(makePlainService),
  ];
  return {
    formatVersion: 1,
    services: sortBy(services, service => service.name),
    customers: sortBy(answers.customers.map(makeCustomer), c => c.id),
  };
}

/** Encodes a configuration as JSON, always to the same bytes. */
export function encodeConfiguration(configuration: Configuration): string {
  return JSON.stringify(configuration);
}

/** Makes the model service and each further service on the same engines. */
function makeEngineServices(answers: EngineAnswers): Service[] {
  const [main, ...others] = [answers, ...(answers.otherWork ?? [])].map(work =>
    makeEngineService(answers, work),
  );
  const weights = makeWeights(answers);
  if (main === undefined || weights === undefined) {
    return main === undefined ? others : [main, ...others];
  }
  // Only the main service carries the weights, because all kinds of work share
  // the engines and each engine must get its orders only once.
  return [{...main, weights}, ...others];
}

function makeWeights(answers: EngineAnswers): DesiredWeights | undefined {
  const {modelVersion, adapters, role, outOfWorkAtOnce, loadsAtOnce} = answers;
  if (modelVersion === undefined) return undefined;
  return {
    modelVersion,
    adapters: [...(adapters ?? [])].sort(),
    role: role ?? '',
    outOfWorkAtOnce: outOfWorkAtOnce ?? DEFAULT_ENGINES_OUT_OF_WORK,
    loadsAtOnce: loadsAtOnce ?? DEFAULT_CONCURRENT_LOADS,
  };
}

function makeEngineService(answers: EngineAnswers, work: OtherWork): Service {
  return {
    name: work.name,
    kind: ServiceKind.ENGINE,
    backendServers: sortBy(answers.servers, server => server.id),
    placement:
      answers.mattersMore === PlacementPreference.REUSE
        ? REUSE_RULES
        : EVENNESS_RULES,
    fencing: answers.checksOrders
      ? FencingSupport.ENFORCED
      : FencingSupport.IGNORED,
    nonRepeatablePaths: [],
    priority: work.whoWaits,
    deadlineMs: work.longestWaitSeconds * MS_PER_SECOND,
  };
}

// Plain servers cache nothing, so only even load matters.
function makePlainService(answers: PlainAnswers): Service {
  return {
    name: answers.name,
    kind: ServiceKind.PLAIN,
    backendServers: sortBy(answers.servers, server => server.id),
    placement: EVENNESS_RULES,
    fencing: FencingSupport.IGNORED,
    nonRepeatablePaths: [...answers.mayNotBeRepeated].sort(),
    priority: answers.whoWaits,
    deadlineMs: answers.longestWaitSeconds * MS_PER_SECOND,
  };
}

function makeCustomer(answers: CustomerAnswers): Customer {
  const cached = CUSTOMER_CACHE.get(answers);
  if (cached !== undefined) return cached;
  const customer = {
    id: answers.name,
    keyHashes: answers.keyHashes,
    services: [...answers.services].sort(),
    maxInFlight: answers.atMostAtOnce,
  };
  CUSTOMER_CACHE.set(answers, customer);
  return customer;
}

function sortBy<T>(items: readonly T[], getKey: (item: T) => string): T[] {
  return [...items].sort((a, b) => (getKey(a) < getKey(b) ? -1 : 1));
}
