import {
  decodeJson,
  ValidationError,
  type BackendServer,
  type Problem,
} from '@greengagecross/common';
import {AnswersSchema, type Answers} from './answers.js';

/**
 * Parses a document of answers and checks it whole.
 *
 * @throws ValidationError listing every problem at once.
 */
export function parseAnswers(text: string, subject: string): Answers {
  const answers = decodeJson(AnswersSchema, text, subject);
  const problems = checkAnswers(answers);
  if (problems.length > 0) throw new ValidationError(subject, problems);
  return answers;
}

/** Checks what no single answer shows: names used twice, or not known. */
export function checkAnswers(answers: Answers): Problem[] {
  const services = listServiceNames(answers);
  return [
    ...checkUnique('services', services),
    ...checkUnique(
      'customers',
      answers.customers.map(customer => customer.name),
    ),
    ...answers.engines.flatMap((engine, index) =>
      checkServers(`engines[${index}].servers`, engine.servers),
    ),
    ...answers.plainServices.flatMap((service, index) =>
      checkServers(`plainServices[${index}].servers`, service.servers),
    ),
    ...checkManaged(answers),
    ...checkCustomers(answers, new Set(services)),
  ];
}

/** Lists every name that a caller may use, as often as it is answered. */
export function listServiceNames(answers: Answers): string[] {
  const works = answers.engines.flatMap(engine => [
    engine,
    ...(engine.otherWork ?? []),
  ]);
  return [...works, ...answers.plainServices].map(service => service.name);
}

function checkUnique(path: string, names: readonly string[]): Problem[] {
  const seen = new Set<string>();
  const repeated = names.filter(name => {
    if (seen.has(name)) return true;
    seen.add(name);
    return false;
  });
  return [...new Set(repeated)].map(name => ({
    path,
    expected: 'each name once',
    found: `"${name}" more than once`,
  }));
}

function checkServers(
  path: string,
  servers: readonly BackendServer[],
): Problem[] {
  const ids = servers.map(server => server.id);
  const places = servers.map(server => `${server.host}:${server.port}`);
  const repeated = [...checkUnique(path, ids), ...checkUnique(path, places)];
  if (servers.length > 0) return repeated;
  return [{path, expected: 'at least one server', found: 'none'}];
}

/** An engine ordered by two services would change back and forth. */
function checkManaged(answers: Answers): Problem[] {
  const managed = answers.engines
    .filter(engine => engine.modelVersion !== undefined)
    .flatMap(engine => engine.servers.map(({host, port}) => `${host}:${port}`));
  return checkUnique('engines that get a model version', managed);
}

function checkCustomers(
  answers: Answers,
  services: ReadonlySet<string>,
): Problem[] {
  return answers.customers.flatMap((customer, index) =>
    customer.services
      .filter(name => !services.has(name))
      .map(name => ({
        path: `customers[${index}].services`,
        expected: 'the name of an answered service',
        found: `"${name}"`,
      })),
  );
}
