/** Kernel, peer connections, platform client, log and metrics, as every process of either role has them. */

import { readFileSync } from 'node:fs'
import type { Effect } from '../kernel/effects.js'
import { Kernel } from '../kernel/kernel.js'
import '../plugins/index.js'
import type { ProcessRef, Role } from '../protocol/messages.js'
import { formatFaults, loadSecretFile } from '../settings/index.js'
import type { ProcessSettings } from '../settings/process.js'
import { computeHandshakesMax, readDescriptorLimit } from './connections/descriptors.js'
import { LimitLog } from './connections/limit-log.js'
import { Logger } from './log/logger.js'
import { Metrics } from './metrics/metrics.js'
import { PeerHub } from './peer/hub.js'
import { PlatformClient } from './platform/client.js'
import { HostListReader } from './platform/hosts.js'
import { ConfigurationReader } from './platform/reader.js'
import { Runtime } from './runtime.js'
import { OperatorKeys } from './security/credentials.js'
import { TlsSources } from './security/tls-sources.js'

/** What differs between the roles. */
export interface ProcessOptions {
  readonly role: Role
  readonly settings: ProcessSettings
  /** Service of the endpoint; endpoint role only. */
  readonly service?: string
  readonly addressHoldMs?: number
  readonly handleRoleEffect: (effect: Effect) => void
  /** Called once, when the planned stop is finished and the process may exit. */
  readonly handleLeaveFinished: () => void
}

/** Seeds of the kernel's random number generator are below this value. */
const SEED_RANGE = 2 ** 31

/** Least time in ms between two log lines on one limit. */
const LIMIT_LOG_INTERVAL_MS = 1_000

/** The kernel of one process with its connections to the outside that do not depend on the role. */
export class ProcessEdge {
  readonly kernel: Kernel
  readonly logger: Logger
  readonly metrics: Metrics
  readonly limits: LimitLog
  readonly runtime: Runtime
  readonly hub: PeerHub
  readonly platform: PlatformClient
  readonly tls: TlsSources
  readonly operators: OperatorKeys
  readonly #reader: ConfigurationReader
  readonly #hosts: HostListReader
  readonly #settings: ProcessSettings

  private constructor (options: ProcessOptions) {
    const { settings, role } = options
    const self = buildSelf(settings, role)
    const clusterSecret = loadSecret(settings.clusterSecretFile)
    this.#settings = settings
    this.logger = Logger.create({ processId: self.id })
    this.metrics = Metrics.create({ role })
    this.limits = LimitLog.create({
      intervalMs: LIMIT_LOG_INTERVAL_MS,
      count: limit => { this.metrics.count('limits_reached', limit) },
      write: (limit, count) => { this.logger.write('limit-reached', { limit, count }) }
    })
    this.tls = TlsSources.create(this.logger)
    const platformTls = this.tls.loadDialler(settings.platform.tls)
    this.platform = PlatformClient.create({
      urls: settings.platform.urls,
      timeoutMs: settings.platform.timeoutMs,
      onResult: (result, elapsedMs) => {
        this.metrics.count('platform_calls', result)
        this.metrics.observe('platform_call_ms', elapsedMs)
      },
      ...(platformTls === undefined ? {} : { tls: () => platformTls.getOptions() }),
      ...(settings.platform.credentialFile === undefined ? {} : { credential: loadSecret(settings.platform.credentialFile, 1) })
    })
    this.kernel = Kernel.create({
      self,
      seed: Math.floor(Math.random() * SEED_RANGE),
      ...(options.service === undefined ? {} : { service: options.service }),
      settings: {
        clusterSecret,
        seeds: settings.seeds.map(seed => ({ id: seed.id, address: seed.peerAddress })),
        ...(options.addressHoldMs === undefined ? {} : { addressHoldMs: options.addressHoldMs })
      }
    })
    this.operators = OperatorKeys.create(loadOperatorKeys(settings))
    this.hub = this.#createHub(self, clusterSecret)
    this.runtime = Runtime.create({ ...this.#buildRuntimeOptions(), handleRoleEffect: options.handleRoleEffect, handleLeaveFinished: options.handleLeaveFinished })
    this.#hosts = HostListReader.create({ platform: this.platform, dispatch: event => { this.runtime.dispatch(event) } })
    this.#reader = ConfigurationReader.create({
      platform: this.platform,
      configuration: this.kernel.getPort('configuration'),
      membership: this.kernel.getPort('membership'),
      dispatch: event => { this.runtime.dispatch(event) },
      handleState: state => { this.logger.write(state === 'lost' ? 'platform-lost' : 'platform-found') }
    })
  }

  /**
   * @param options - role and settings
   * @returns a process edge that is not started
   * @throws Error when a file named by the settings cannot be read
   */
  static create (options: ProcessOptions): ProcessEdge {
    return new ProcessEdge(options)
  }

  /** @throws Error when the peer listener's port is taken */
  async start (): Promise<void> {
    const { ip, port } = this.#settings.peerListener
    await this.hub.start(ip, port)
    this.runtime.start()
    // Only entries read from the platform: endpoint processes outnumber them, and get the configuration from them.
    if (this.kernel.self.role === 'entry') {
      this.#reader.start()
      this.#hosts.start()
    }
    const { id, role, incarnation } = this.kernel.self
    this.logger.write('process-started', { role, id, incarnation })
  }

  /** Starts the planned stop: the kernel finishes accepted work and accepts no more. */
  leave (): void {
    const deadlineMs = this.#settings.leaveDeadlineMs
    this.logger.write('process-leaving', { deadlineMs })
    this.runtime.dispatch({ kind: 'leave-requested', deadlineMs })
  }

  /** Closes all sockets and stops all timers. */
  async stop (): Promise<void> {
    this.#reader.stop()
    this.#hosts.stop()
    this.runtime.stop()
    await this.hub.stop()
    await this.platform.close()
    this.tls.stop()
    this.logger.write('process-stopped', {})
  }

  #buildRuntimeOptions (): { kernel: Kernel, hub: PeerHub, platform: PlatformClient, logger: Logger, metrics: Metrics } {
    return { kernel: this.kernel, hub: this.hub, platform: this.platform, logger: this.logger, metrics: this.metrics }
  }

  #createHub (self: ProcessRef, clusterSecret: string): PeerHub {
    const identity = {
      self,
      clusterSecret,
      getConfigVersion: () => this.kernel.getPort('configuration').getCurrent().version
    }
    const tls = this.tls.loadPeerTls(this.#settings)
    return PeerHub.create(identity, {
      handlePeerConnected: peer => { this.runtime.dispatch({ kind: 'peer-connected', peer }) },
      handlePeerDisconnected: peer => { this.runtime.dispatch({ kind: 'peer-disconnected', peer }) },
      handlePeerMessage: (peer, message) => { this.runtime.dispatch({ kind: 'message-received', peer, message }) },
      handlePeerRefused: reason => { this.logger.write('peer-refused', { reason }) }
    }, tls, { handshakesMax: computeHandshakesMax(this.#settings.peerListener.handshakesMax, readDescriptorLimit()), noteLimit: limit => { this.limits.note(limit) } })
  }
}

function loadSecret (file: string, minCharacters?: number): string {
  return loadSecretFile(file, minCharacters).caseOf({
    Left: faults => { throw new Error(formatFaults(faults)) },
    Right: secret => secret
  })
}

function loadOperatorKeys (settings: ProcessSettings): string {
  const file = settings.operationsListener.operatorKeysFile
  return file === undefined ? '' : readFileSync(file, 'utf8')
}

/** Uses the wall clock in ms as the incarnation number, which must increase with each start. */
function buildSelf (settings: ProcessSettings, role: Role): ProcessRef {
  return {
    id: settings.processId,
    role,
    domain: settings.failureDomain,
    host: settings.host,
    address: `${settings.peerListener.ip}:${settings.peerListener.port}`,
    incarnation: Date.now()
  }
}
