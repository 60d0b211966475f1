package org.hickorycleat.daemon.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.identifier.ZoneId;

/** Creates the JSON mapper for the responses of the admin interface. */
final class AdminJsonMapper {
    private AdminJsonMapper() {}

    static ObjectMapper create() {
        SimpleModule identifiers = new SimpleModule();
        for (Class<?> type : identifierTypes()) {
            identifiers.addSerializer(type, ToStringSerializer.instance);
        }
        return new ObjectMapper()
                .setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                .registerModule(new Jdk8Module())
                .registerModule(identifiers);
    }

    private static Class<?>[] identifierTypes() {
        return new Class<?>[] {
            AttemptNumber.class,
            ConfigurationVersion.class,
            Epoch.class,
            Incarnation.class,
            InstanceNumber.class,
            ProcessId.class,
            RackId.class,
            ServiceName.class,
            SessionNumber.class,
            ShardNumber.class,
            TaskId.class,
            TeamName.class,
            WorkerId.class,
            ZoneId.class
        };
    }
}
