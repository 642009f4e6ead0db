import {HttpClient} from '@greengagecross/http';
import {
  ConfigurationStore,
  HttpHostDirectory,
  HttpObjectStore,
  HttpTableService,
  PlatformClient,
  type HostDirectory,
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
  readonly hosts: HostDirectory;
  readonly daemons: DaemonCaller;
  readonly fleet: FleetReader;
  readonly progress = new ProgressLine();
  private readonly client = new HttpClient();

  constructor(settingsFile: string) {
    const settings = readClientSettings(settingsFile);
    const key = readInputFile(settings.keyFile).split('\n')[0] ?? '';
    const caller = new PlatformClient(
      this.client,
      settings.platform,
      PLATFORM_TIMEOUT_MS,
    );
    this.operator = settings.operator;
    this.store = new ConfigurationStore(
      new HttpTableService(caller),
      new HttpObjectStore(caller),
    );
    this.hosts = new HttpHostDirectory(caller);
    this.daemons = new DaemonCaller(this.client, key.trim());
    this.fleet = new FleetReader(
      this.hosts,
      this.daemons,
      settings.daemons ?? [],
    );
  }

  /** Closes all connections to the platform and to daemons. */
  close(): void {
    this.client.close();
  }
}
