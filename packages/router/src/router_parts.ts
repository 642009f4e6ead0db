import {
  CrashSuspects,
  FleetRetryBudget,
  EventLoopDelay,
  FleetWatch,
  HedgePolicy,
  LoadSums,
  ServerHealth,
  ServerNotices,
  UploadBudget,
} from '@greengagecross/decisions';
import {
  hash32,
  readNowMs,
  readSteadyMs,
  SeededRandom,
} from '@greengagecross/common';
import {HttpClient, stateBuffers} from '@greengagecross/http';
import {PeerClient, PeerMethod, PeerServer} from '@greengagecross/peers';
import {Effect} from 'effect';
import {OperationalEndpoints} from './operational_endpoints.js';
import {AttemptRecorder} from './calls/attempt_recorder.js';
import {BackendAttempts} from './calls/backend_attempts.js';
import {CallHandler} from './calls/call_handler.js';
import {FleetRetries} from './calls/fleet_retries.js';
import {HedgedAttempts} from './calls/hedged_attempts.js';
import {InFlightCounter} from './calls/in_flight_counter.js';
import {LocalAnswers} from './calls/local_answers.js';
import {RequestAdmission} from './calls/request_admission.js';
import {RefusalLog} from './calls/refusal_log.js';
import {ColdServers} from './calls/cold_servers.js';
import {ServerChooser} from './calls/server_chooser.js';
import {ServiceDispatcher} from './calls/service_dispatcher.js';
import {computeUploadRate} from './members/compute_upload_rate.js';
import {ConfigurationCatchUp} from './members/configuration_catch_up.js';
import {ConfigurationDocuments} from './members/configuration_documents.js';
import {ConfigurationQuerySchema} from './members/configuration_message.js';
import {ConfigurationSender} from './members/configuration_sender.js';
import {FleetStateQuerySchema} from './members/fleet_state_message.js';
import {MemberService} from './members/member_service.js';
import {MemberView} from './members/member_view.js';
import {StateCatchUp} from './members/state_catch_up.js';
import {listConnectionGauges} from './metrics/list_connection_gauges.js';
import {listGauges} from './metrics/router_gauges.js';
import {RouterMetrics} from './metrics/router_metrics.js';
import type {RouterSettings} from './model/router_settings.js';
import type {CallCodec} from './ports/call_codec.js';
import type {EndedEnginesStore} from './ports/ended_engines_store.js';
import type {FleetStateSource} from './ports/fleet_state_source.js';
import type {MemberRegistry} from './ports/member_registry.js';
import {EndedEnginesPersister} from './state/ended_engines_persister.js';
import {FleetState} from './state/fleet_state.js';
import {CrashGuard} from './suspects/crash_guard.js';
import {StreamDispatcher} from './streams/stream_dispatcher.js';

/** Default timeout of an RPC to another daemon. */
const PEER_TIMEOUT_MS = 800;
/**
 * Key that daemons send with RPCs, the same in every fleet. It is not secret:
 * clients have no access to the network of these RPCs.
 */
const PEER_KEY = 'greengagecross-fleet';

/** Ports that the platform implements for the router. */
export interface RouterPorts {
  readonly codec: CallCodec;
  readonly source: FleetStateSource;
  readonly registry: MemberRegistry;
  readonly endedEngines: EndedEnginesStore;
}

/** Creates and connects all parts of a router daemon. */
export class RouterParts {
  readonly state = new FleetState(lagMs =>
    this.metrics.recordActivation(lagMs),
  );
  readonly health = new ServerHealth();
  readonly calls: CallHandler;
  readonly members: MemberService;
  readonly endpoints: OperationalEndpoints;
  readonly budget: FleetRetryBudget;
  readonly hedging: HedgePolicy;
  readonly cold: ColdServers;
  readonly eventLoopDelay = new EventLoopDelay();
  readonly endedEngines: EndedEnginesPersister;
  readonly refusals = new RefusalLog();
  private readonly inFlight = new InFlightCounter();
  private readonly suspects = new CrashSuspects();
  private readonly notices = new ServerNotices();
  private readonly metrics = new RouterMetrics();
  private readonly backendClient = new HttpClient();
  private readonly peerClient = new HttpClient(stateBuffers);

  constructor(
    settings: RouterSettings,
    readonly ports: RouterPorts,
    isRefusing: () => boolean,
    isFull: () => boolean,
  ) {
    const {self} = settings;
    const incarnation = readNowMs();
    const watch = new FleetWatch(self.id, incarnation);
    const sums = new LoadSums();
    const view = new MemberView(self.id, watch, sums);
    const answers = new LocalAnswers(ports.codec);
    const budget = new FleetRetryBudget(settings.retryLimits);
    this.budget = budget;
    this.hedging = new HedgePolicy(settings.hedgeLimits);
    this.cold = new ColdServers(
      self.id,
      settings.coldLimits,
      this.state,
      view,
      this.metrics,
      (zone, nowMs) => this.state.evacuated.has(zone, nowMs),
    );
    const chooser = new ServerChooser(
      self.availabilityZone,
      this.state.backends,
      this.health,
      this.inFlight,
      view,
      this.notices,
      this.state.evacuated,
      this.cold,
    );
    const guard = new CrashGuard(
      this.suspects,
      self.id,
      () => view.listRunning(readSteadyMs()).map(({id}) => id),
      reports => this.members.sendSuspects(reports),
    );
    const recorder = new AttemptRecorder(
      this.health,
      guard,
      this.notices,
      this.metrics,
      (serverId, attemptStartMs) =>
        chooser.recordUnreachable(serverId, attemptStartMs),
      serverId => this.cold.recordReachable(serverId),
    );
    const attempts = new BackendAttempts(
      this.backendClient,
      ports.codec,
      this.inFlight,
      recorder,
    );
    const retries = new FleetRetries(budget, view);
    const dispatcherArguments = [
      chooser,
      attempts,
      retries,
      answers,
      guard,
    ] as const;
    this.calls = new CallHandler(
      ports.codec,
      this.state,
      new RequestAdmission(this.state, ports.source, isRefusing),
      new ServiceDispatcher(
        ...dispatcherArguments,
        new HedgedAttempts(this.hedging, chooser, this.metrics),
      ),
      new StreamDispatcher(...dispatcherArguments),
      guard,
      this.eventLoopDelay,
      answers,
      this.metrics,
      this.refusals,
      isRefusing,
    );
    const peers = new PeerClient(this.peerClient, PEER_KEY, PEER_TIMEOUT_MS);
    const catchUp = new StateCatchUp(this.state, ports.source, peers);
    const random = new SeededRandom(
      hash32(`configuration ${self.id} ${incarnation}`),
    );
    const documents = new ConfigurationDocuments(this.state);
    const sender = new ConfigurationSender(
      self,
      documents,
      new UploadBudget(computeUploadRate(settings)),
      random,
      this.metrics,
    );
    const configurationCatchUp = new ConfigurationCatchUp(
      self,
      this.state,
      ports.source,
      peers,
      () => view.listUnsuspected(readSteadyMs()),
      documents,
      catchUp,
      random,
      this.metrics,
    );
    this.members = new MemberService(
      settings,
      this.state,
      view,
      this.inFlight,
      this.suspects,
      guard,
      ports.registry,
      ports.source,
      catchUp,
      configurationCatchUp,
      watch,
      sums,
      incarnation,
    );
    this.endedEngines = new EndedEnginesPersister(
      self.id,
      this.state,
      view,
      chooser,
      ports.endedEngines,
    );
    const peerServer = new PeerServer([PEER_KEY]);
    peerServer.addMethod(
      PeerMethod.FETCH_FLEET_STATE,
      FleetStateQuerySchema,
      query => Effect.sync(() => catchUp.makeResult(query)),
    );
    peerServer.addMethod(
      PeerMethod.FETCH_CONFIGURATION,
      ConfigurationQuerySchema,
      query => Effect.sync(() => sender.answer(query, readSteadyMs())),
    );
    this.endpoints = new OperationalEndpoints(
      self,
      ports.codec,
      this.members,
      view,
      peerServer,
      this.metrics,
      isFull,
    );
    const gauges = listGauges({
      state: this.state,
      view,
      members: this.members,
      notices: this.notices,
      cold: this.cold,
      suspects: this.suspects,
      guard,
      backendClient: this.backendClient,
    });
    for (const gauge of [...gauges, ...listConnectionGauges()]) {
      this.metrics.addGauge(gauge);
    }
  }
}
