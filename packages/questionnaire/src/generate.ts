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
const OUT_OF_WORK_AT_ONCE = 1;
const LOADS_AT_ONCE = 2;
const REUSE_RULES: PlacementRules = {
  preference: PlacementPreference.REUSE,
  maxLoadMultiple: 1.5,
};
const EVENNESS_RULES: PlacementRules = {
  preference: PlacementPreference.EVENNESS,
  maxLoadMultiple: 1.25,
};

// Unchanged answers give the same object, which need not be encoded again.
const MADE_CUSTOMERS = new WeakMap<CustomerAnswers, Customer>();

/** Makes the configuration that the answers ask for; the same each time. */
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

/** Encodes a configuration; the same bytes each time. */
export function encodeConfiguration(configuration: Configuration): string {
  return JSON.stringify(configuration);
}

/** Makes one service for each kind of work on the same engines. */
function makeEngineServices(answers: EngineAnswers): Service[] {
  const [main, ...others] = [answers, ...(answers.otherWork ?? [])].map(work =>
    makeEngineService(answers, work),
  );
  const weights = makeWeights(answers);
  if (main === undefined || weights === undefined) {
    return main === undefined ? others : [main, ...others];
  }
  // The engines are ordered once, not for each kind of work.
  return [{...main, weights}, ...others];
}

function makeWeights(answers: EngineAnswers): DesiredWeights | undefined {
  const {modelVersion, adapters, role, outOfWorkAtOnce, loadsAtOnce} = answers;
  if (modelVersion === undefined) return undefined;
  return {
    modelVersion,
    adapters: [...(adapters ?? [])].sort(),
    role: role ?? '',
    outOfWorkAtOnce: outOfWorkAtOnce ?? OUT_OF_WORK_AT_ONCE,
    loadsAtOnce: loadsAtOnce ?? LOADS_AT_ONCE,
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
  const known = MADE_CUSTOMERS.get(answers);
  if (known !== undefined) return known;
  const customer = {
    id: answers.name,
    keyHashes: answers.keyHashes,
    services: [...answers.services].sort(),
    maxInFlight: answers.atMostAtOnce,
  };
  MADE_CUSTOMERS.set(answers, customer);
  return customer;
}

function sortBy<T>(items: readonly T[], getKey: (item: T) => string): T[] {
  return [...items].sort((a, b) => (getKey(a) < getKey(b) ? -1 : 1));
}
