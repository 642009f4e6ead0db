import {Schema} from 'effect';
import {
  ChatRequestSchema,
  EngineLoadSchema,
  EngineStateSchema,
  FencedOrderSchema,
  OrderKind,
} from '@greengagecross/backend';
import {
  DaemonSettingsSchema,
  FleetKeysSchema,
  MemberState,
  PriorityClass,
} from '@greengagecross/common';
import {ClaimRecordSchema, ClaimState} from '@greengagecross/daemon';
import {
  AcquireSlotSchema,
  BackendLeavingSchema,
  FetchPartsSchema,
  HeartbeatSchema,
  PartsAnswerSchema,
  ProbeSchema,
  SlotReferenceSchema,
  RenewSlotsSchema,
} from '@greengagecross/peers';
import {
  ConfigurationRevisionSchema,
  HostListSchema,
  HostRole,
  HostState,
  LeaseValueSchema,
  LoadPermitsSchema,
  TableRowSchema,
} from '@greengagecross/platform';

/** A kind of document from outside: what checks it, and a right one. */
export interface DocumentKind {
  readonly schema: Schema.Codec<unknown>;
  readonly right: unknown;
}

const ADDRESS = {host: '127.0.0.1', port: 40_000};
const KEYS = ['a-key-of-the-fleet', 'another-key-of-it'];
const SLOT = {engine: 'engine-1', slotId: 'slot-1'};
const STATUS = {
  id: 'entry-1',
  incarnation: 1,
  sequence: 2,
  configurationRevision: 3,
  engines: [{engine: 'engine-1', inFlight: 4}],
};
const MEMBER = {
  ...STATUS,
  state: MemberState.LIVE,
  stateVersion: 1,
  region: 'centro',
  availabilityZone: 'centro-a',
  callerAddress: ADDRESS,
  controlAddress: ADDRESS,
};

/** The kinds of documents by name. */
export const DOCUMENTS: Readonly<Record<string, DocumentKind>> = {
  'daemon settings': {
    schema: DaemonSettingsSchema,
    right: {
      id: 'entry-1',
      region: 'centro',
      availabilityZone: 'centro-a',
      callerListener: ADDRESS,
      controlListener: ADDRESS,
      platform: ADDRESS,
      keysFile: '/keys.json',
      seeds: [ADDRESS],
      tuning: {heartbeatMs: 1000},
    },
  },
  'fleet keys': {
    schema: FleetKeysSchema,
    right: {peer: KEYS, operator: KEYS, ticket: KEYS},
  },
  'a chat request': {
    schema: ChatRequestSchema,
    right: {model: 'assistant', messages: [{role: 'user'}], stream: true},
  },
  'a heartbeat': {
    schema: HeartbeatSchema,
    right: {
      from: 'entry-1',
      incarnation: 1,
      members: [MEMBER],
      statuses: [STATUS],
      tableHash: 7,
      highestRevision: 3,
      hosts: {version: 1, leaving: ['engine-1']},
    },
  },
  'a slot request': {
    schema: AcquireSlotSchema,
    right: {
      ...SLOT,
      holder: 'entry-1',
      customer: 'customer-1',
      priority: PriorityClass.INTERACTIVE,
      waitMs: 10,
    },
  },
  "a slot's release": {schema: SlotReferenceSchema, right: SLOT},
  "slots' renewal": {
    schema: RenewSlotsSchema,
    right: {holder: 'entry-1', slots: [SLOT]},
  },
  'a probe': {
    schema: ProbeSchema,
    right: {id: 'entry-1', controlAddress: ADDRESS},
  },
  'news of a leaving backend': {
    schema: BackendLeavingSchema,
    right: {backend: 'engine-1'},
  },
  'a request for parts': {
    schema: FetchPartsSchema,
    right: {digests: ['aa', 'bb']},
  },
  'parts of a configuration': {
    schema: PartsAnswerSchema,
    right: {parts: [{digest: 'aa', body: '{}'}]},
  },
  'a table row': {
    schema: TableRowSchema,
    right: {key: 'a/1', value: 'one', version: 1},
  },
  'a host list': {
    schema: HostListSchema,
    right: {
      version: 1,
      hosts: [
        {
          id: 'entry-1',
          role: HostRole.ENTRY,
          state: HostState.LIVE,
          region: 'centro',
          availabilityZone: 'centro-a',
          ...ADDRESS,
          controlPort: 40_001,
        },
      ],
    },
  },
  'a claim': {
    schema: ClaimRecordSchema,
    right: {
      token: 'attempt-1',
      requestDigest: 'aa',
      state: ClaimState.DONE,
      claimedAtMs: 1,
      status: 200,
      contentType: 'application/json',
      body: 'e30=',
    },
  },
  'a configuration head': {
    schema: ConfigurationRevisionSchema,
    right: {
      revision: 1,
      digest: 'aa',
      answersDigest: 'bb',
      packIndex: '',
      partsSincePacks: 0,
      segment: '1',
      operationId: 'operation-1',
      acceptedBy: 'operator-1',
      acceptedAtMs: 1,
      reason: 'a reason',
    },
  },
  'a lease': {
    schema: LeaseValueSchema,
    right: {holder: 'entry-1', token: 'write-1', fencingNumber: 1},
  },
  'the permits to load': {
    schema: LoadPermitsSchema,
    right: {loads: [{service: 'assistant', engine: 'engine-1'}]},
  },
  "an engine's load": {
    schema: EngineLoadSchema,
    right: {running: 1, waiting: 0, capacity: 4, leaving: false, ageMs: 0},
  },
  "an engine's state": {
    schema: EngineStateSchema,
    right: {
      modelVersion: '1',
      loadingVersion: '',
      adapters: ['legal'],
      role: 'any',
      isDraining: false,
      inFlight: 0,
    },
  },
  'an order': {
    schema: FencedOrderSchema,
    right: {kind: OrderKind.DRAIN, value: '', fencingNumber: 1},
  },
};
