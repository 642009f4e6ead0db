import {
  decodeJson,
  ValidationError,
  type BackendServer,
  type Problem,
} from '@greengagecross/common';
import {AnswersSchema, type Answers} from './answers.js';

/**
 * Parses a document of answers and checks the complete document.
 *
 * @param documentName name of the document in error messages.
 * @throws ValidationError listing all problems of the schema, or else all
 *     problems that {@link checkAnswers} finds.
 */
export function parseAnswers(text: string, documentName: string): Answers {
  const answers = decodeJson(AnswersSchema, text, documentName);
  const problems = checkAnswers(answers);
  if (problems.length > 0) throw new ValidationError(documentName, problems);
  return answers;
}

/**
 * Checks answers against each other: duplicate names and server addresses,
 * services without servers, servers whose weights two services manage, and
 * unknown services of customers. The path of a problem is a place in words
 * where no single field is wrong.
 */
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
    ...checkManagedEngines(answers),
    ...checkCustomers(answers, new Set(services)),
  ];
}

/** Lists all service names that callers may use, including duplicates. */
export function listServiceNames(answers: Answers): string[] {
  const kindsOfWork = answers.engines.flatMap(engine => [
    engine,
    ...(engine.otherWork ?? []),
  ]);
  return [...kindsOfWork, ...answers.plainServices].map(
    service => service.name,
  );
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
  const addresses = servers.map(server => `${server.host}:${server.port}`);
  const repeated = [...checkUnique(path, ids), ...checkUnique(path, addresses)];
  if (servers.length > 0) return repeated;
  return [{path, expected: 'at least one server', found: 'none'}];
}

/**
 * Checks that at most one service manages the weights of an engine. Two such
 * services would make the engine reload between their versions without end.
 */
function checkManagedEngines(answers: Answers): Problem[] {
  const managedAddresses = answers.engines
    .filter(engine => engine.modelVersion !== undefined)
    .flatMap(engine => engine.servers.map(({host, port}) => `${host}:${port}`));
  return checkUnique('engines that get a model version', managedAddresses);
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
        expected: 'the name of a service in the answers',
        found: `"${name}"`,
      })),
  );
}
