import {Effect} from 'effect';
import {
  AcquireSlotSchema,
  BackendLeavingSchema,
  HeartbeatSchema,
  PeerMethod,
  PeerServer,
  ProbeSchema,
  SlotReferenceSchema,
  RenewSlotsSchema,
} from '@greengagecross/peers';
import {ConfigurationAnswers} from '../configuration/configuration_answers.js';
import {ControlRouter, type DaemonControls} from '../control/control_router.js';
import {StateDump} from '../control/state_dump.js';
import type {DaemonMetrics} from '../metrics/daemon_metrics.js';
import type {DaemonParts} from './daemon_parts.js';

/** Makes the router of the control listener, for peers and operators. */
export function makeControlRouter(
  parts: DaemonParts,
  metrics: DaemonMetrics,
  controls: DaemonControls,
): ControlRouter {
  const dump = new StateDump(
    parts.members,
    parts.configuration,
    parts.hosts,
    parts.ledger,
    metrics,
    parts.claims,
    parts.orders,
    parts.startedAtMs,
    nowMs => parts.suspects.describe(nowMs),
  );
  const peers = makePeerServer(parts);
  return new ControlRouter(
    peers,
    metrics,
    dump,
    parts.explainer,
    parts.keys.operator,
    controls,
  );
}

function makePeerServer(parts: DaemonParts): PeerServer {
  const {members, slotAnswers, slots} = parts;
  const peers = new PeerServer(parts.keys.peer);
  peers.addMethod(PeerMethod.HEARTBEAT, HeartbeatSchema, heartbeat =>
    members.answerHeartbeat(heartbeat),
  );
  peers.addMethod(PeerMethod.PROBE, ProbeSchema, probe =>
    members.answerProbe(probe),
  );
  peers.addMethod(PeerMethod.ACQUIRE_SLOT, AcquireSlotSchema, request =>
    Effect.map(slotAnswers.answerAcquire(request), granted => ({granted})),
  );
  peers.addMethod(PeerMethod.RELEASE_SLOT, SlotReferenceSchema, release =>
    Effect.as(slotAnswers.answerRelease(release), {released: true}),
  );
  new ConfigurationAnswers(parts.configuration).addTo(peers);
  parts.suspects.answers.addTo(peers);
  peers.addMethod(PeerMethod.RENEW_SLOTS, RenewSlotsSchema, renewal =>
    Effect.as(slots.answerRenewal(renewal), {renewed: true}),
  );
  peers.addMethod(PeerMethod.BACKEND_LEAVING, BackendLeavingSchema, update =>
    parts.leavingNotices.answerNotice(update.backend),
  );
  return peers;
}
