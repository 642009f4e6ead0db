import {HttpClient} from '@greengagecross/http';
import {
  ConfigurationStore,
  HttpHostListSource,
  HttpObjectStore,
  HttpTableService,
  PlatformClient,
  type HostListSource,
} from '@greengagecross/platform';
import {readClientSettings, readInputFile} from './client_settings.js';
import {DaemonCaller} from './daemon_caller.js';
import {ProgressLine} from './progress_line.js';
import {FleetReader} from './fleet/fleet_reader.js';

const PLATFORM_TIMEOUT_MS = 3000;

/**
 * Clients and settings that commands share, made from the settings file.
 *
 * The constructor throws when the settings or the key file are invalid.
 */
export class ClientContext {
  readonly operator: string;
  readonly store: ConfigurationStore;
  readonly hosts: HostListSource;
  readonly daemonCaller: DaemonCaller;
  readonly fleet: FleetReader;
  readonly progress = new ProgressLine();
  private readonly httpClient = new HttpClient();

  constructor(settingsFile: string) {
    const settings = readClientSettings(settingsFile);
    const key = readInputFile(settings.keyFile).split('\n')[0] ?? '';
    const platformClient = new PlatformClient(
      this.httpClient,
      settings.platform,
      PLATFORM_TIMEOUT_MS,
    );
    this.operator = settings.operator;
    this.store = new ConfigurationStore(
      new HttpTableService(platformClient),
      new HttpObjectStore(platformClient),
    );
    this.hosts = new HttpHostListSource(platformClient);
    this.daemonCaller = new DaemonCaller(this.httpClient, key.trim());
    this.fleet = new FleetReader(
      this.hosts,
      this.daemonCaller,
      settings.daemons ?? [],
    );
  }

  /** Closes all connections to the platform and to daemons. */
  close(): void {
    this.httpClient.close();
  }
}
