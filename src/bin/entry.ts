#!/usr/bin/env node
/** `heatherdoor-entry SETTINGS`: serves callers on an entry host. */

import { EntryProcess } from '../edge/entry/process.js'
import { loadEntrySettings } from '../settings/index.js'
import { runBinary } from './run.js'

runBinary('heatherdoor-entry', loadEntrySettings, settings => EntryProcess.create(settings))
