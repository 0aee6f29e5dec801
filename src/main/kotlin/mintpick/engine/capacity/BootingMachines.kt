package mintpick.engine.capacity

import mintpick.core.BootKind
import mintpick.core.BootTimes
import mintpick.core.MachineId
import mintpick.core.Micros
import mintpick.core.Offer
import mintpick.core.SECOND
import mintpick.engine.agents.AgentRegistry
import mintpick.engine.runtime.EngineContext
import org.slf4j.LoggerFactory

/** A machine that was rented, or listed by the cloud, and has not reported yet. */
class BootingMachine(
    val id: MachineId,
    val offer: Offer,
    /** When it was requested, as far as is known. */
    val requestedUs: Micros,
) {
    /** Whether [BootTimes] has counted it as overdue. */
    internal var isRecordedOverdue = false
    internal val kind get() = BootKind(offer.type, offer.zone)
}

/** The machines that boot, and how long machines of their kinds take to. Event-loop thread only. */
class BootingMachines(
    private val context: EngineContext,
    private val agents: AgentRegistry,
) {
    private val machines = LinkedHashMap<MachineId, BootingMachine>()
    private val bootTimes = BootTimes()

    /** The first known first. */
    val all: Collection<BootingMachine> get() = machines.values

    /** A machine that the cloud has rented out on request; what was known of it before is replaced. */
    fun addRented(machine: BootingMachine) {
        machines[machine.id] = machine
    }

    /** A machine in the cloud's list, unless it is known already. */
    fun addListed(machine: BootingMachine) {
        machines.putIfAbsent(machine.id, machine)
    }

    /** [machine] is terminated. */
    fun remove(machine: MachineId) {
        machines.remove(machine)
    }

    /** [machine] is up: its boot time becomes a sample, unless it has been one as overdue. */
    fun markBooted(machine: MachineId) {
        val booted = machines.remove(machine) ?: return
        val firstHeartbeatUs = agents.view(machine)?.firstContactUs ?: return
        val nominalUs = nominalBootUs(booted)
        if (booted.isRecordedOverdue || nominalUs <= 0) return
        bootTimes.recordBoot(booted.kind, (firstHeartbeatUs - booted.requestedUs).toDouble() / nominalUs)
    }

    /** Makes samples of the machines that have become overdue. */
    fun recordOverdue() = machines.values.forEach(::recordIfOverdue)

    private fun recordIfOverdue(machine: BootingMachine) {
        if (machine.isRecordedOverdue || !isBootingLongerThan(machine, BootTimes.OVERDUE_MULTIPLE)) return
        machine.isRecordedOverdue = true
        val wasSlow = bootTimes.isSlow(machine.kind)
        bootTimes.recordOverdue(machine.kind)
        if (!wasSlow && bootTimes.isSlow(machine.kind)) {
            LOG.warn("slow boots type={} zone={}", machine.offer.type, machine.offer.zone)
        }
    }

    /** Whether no work should wait for [machine] any more, so that another is rented for it. */
    fun isLate(machine: BootingMachine): Boolean = isBootingLongerThan(machine, bootTimes.replaceAfterMultiple(machine.kind))

    /** Whether [machine] should be released: some machines never come up, and are charged until they are released. */
    fun isLost(machine: BootingMachine): Boolean {
        val nominalUs = nominalBootUs(machine)
        val bootLimitUs = (nominalUs * bootTimes.releaseAfterMultiple(machine.kind)).toLong()
        val limitUs = bootLimitUs + RELEASE_MARGIN + context.settings.listLagUs
        return nominalUs > 0 && context.now - machine.requestedUs > limitUs
    }

    /** Whether machines of [offer] boot late or never: another kind does better. */
    fun isSlow(offer: Offer): Boolean = bootTimes.isSlow(BootKind(offer.type, offer.zone))

    private fun isBootingLongerThan(
        machine: BootingMachine,
        multiple: Double,
    ): Boolean {
        val nominalUs = nominalBootUs(machine)
        return nominalUs > 0 && context.now - machine.requestedUs > (nominalUs * multiple).toLong()
    }

    /** Boot time that the cloud names for the machine's type; 0 if the type is unknown. */
    private fun nominalBootUs(machine: BootingMachine): Micros {
        val bootS = context.cache.machineTypes[machine.offer.type]?.bootS ?: 0.0
        return (bootS * SECOND).toLong()
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(BootingMachines::class.java)

        /** Waited for beyond the multiple of the nominal boot time, and the lag of the cloud's list, before a release. */
        const val RELEASE_MARGIN: Micros = 10 * SECOND
    }
}
