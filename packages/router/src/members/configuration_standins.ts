import assert from 'node:assert/strict';
import {deflateSync} from 'node:zlib';
import {Effect, Schema} from 'effect';
import type {Address} from '@greengagecross/common';
import {PeerError, PeerMethod, PeerRpc} from '@greengagecross/peers';
import {FleetState} from '../state/fleet_state.js';
import {ConfigurationDocuments} from './configuration_documents.js';
import type {
  ConfigurationDocument,
  ConfigurationQuery,
  ConfigurationResult,
} from './configuration_message.js';
import {CountedSource, makeTestConfiguration} from './configuration_spread.js';

const ROUTES = 10;
const LARGE_BYTES = 64 * 1024 * 1024;

/** Answers a query; undefined for none. */
export type Answer = (
  query: ConfigurationQuery,
) => ConfigurationResult | undefined;

/** A peer that answers after a time. */
export interface PeerStandin {
  readonly answer: Answer;
  readonly answerMs: number;
}

/** Peers that answer as their scenario says; records who was asked. */
export class PeersStandin extends PeerRpc {
  readonly standins = new Map<string, PeerStandin>();
  /** Hosts that were asked for their configurations, in order. */
  readonly asked: string[] = [];
  backendsRevision = -1;

  override send<S extends Schema.ConstraintDecoder<unknown>>(
    address: Address,
    method: PeerMethod,
    params: object,
    result: S,
    timeoutMs = 0,
  ): Effect.Effect<S['Type'], PeerError> {
    const {host} = address;
    if (method === PeerMethod.FETCH_FLEET_STATE) {
      const {isConfigurationWanted} = params as {
        isConfigurationWanted: boolean;
      };
      const state = this.makeState(isConfigurationWanted);
      return Effect.succeed(Schema.decodeUnknownSync(result)(state));
    }
    this.asked.push(host);
    const standin = this.standins.get(host);
    const answer = standin?.answer(params as ConfigurationQuery);
    if (standin === undefined || answer === undefined) {
      const error = new PeerError(method, host);
      return Effect.delay(Effect.fail(error), timeoutMs);
    }
    const decoded = Schema.decodeUnknownSync(result)(answer);
    return Effect.delay(Effect.succeed(decoded), standin.answerMs);
  }

  private makeState(isConfigurationWanted: boolean): object {
    const revision = this.backendsRevision;
    const {coldServices, ...configuration} = makeTestConfiguration(2, ROUTES);
    assert.ok(coldServices);
    return {
      ...(isConfigurationWanted ? {configuration} : {}),
      backends: {
        changed: [],
        removed: [],
        lapsed: [],
        revision,
        changeRevision: revision,
      },
    };
  }
}

/** A store that may hold a newer configuration. */
export class StoreStandin extends CountedSource {
  version = 1;

  override readConfiguration(): Effect.Effect<void> {
    const {version} = this;
    return Effect.map(super.readConfiguration(), () => {
      this.state.configuration.set(makeTestConfiguration(version, ROUTES), 0);
    });
  }

  constructor(private readonly state: FleetState) {
    super();
  }
}

/** Makes the document of a small configuration. */
export function makeDocument(version: number): ConfigurationDocument {
  const state = new FleetState();
  state.configuration.set(makeTestConfiguration(version, ROUTES), 0);
  const document = new ConfigurationDocuments(state).getActive();
  assert.ok(document);
  return document;
}

/** Makes a document with a fault that is named in words. */
export function makeFaultyDocument(fault: string): ConfigurationDocument {
  const document = makeDocument(2);
  const deflate = (value: string | Buffer): string =>
    deflateSync(value).toString('base64');
  const texts: Readonly<Record<string, () => string>> = {
    'is not compressed': () => Buffer.from('{}').toString('base64'),
    'is cut': () => document.deflated.slice(0, document.deflated.length / 2),
    'holds another version': () => makeDocument(3).deflated,
    'has no routes': () => deflate(JSON.stringify({version: 2})),
    'inflates to 64 MB': () => deflate(Buffer.alloc(LARGE_BYTES, ' ')),
  };
  const makeText = texts[fault];
  assert.ok(makeText);
  return {version: 2, deflated: makeText()};
}
